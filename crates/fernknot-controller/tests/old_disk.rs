//! Disks written by an earlier release can be read: the configuration is the same, and a change that builds on it is
//! accepted.
//!
//! `fixtures/disks` contains the data directories of four controllers, the first three of them seeds, written by the
//! programs of commit 25f41f5: all accepted versions 3 and 5; 8 was committed while the third controller was down,
//! and 13 after its return. `fernknot-testbed` starts the real programs on the same directories.

mod common;

use common::{Cluster, config_json, ms};
use fernknot_consensus::{PersistentState, Revision, ViewNumber};
use fernknot_controller::{CommittedVersion, ControlState};
use fernknot_storage::{Capacity, Storage};
use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Storage keys of the consensus state and of the addresses of other controllers.
const CONSENSUS_KEY: &str = "views";
const KNOWN_PEERS_KEY: &str = "known";
/// Numbers of the controllers whose disks are recorded.
const CONTROLLERS: [usize; 4] = [1, 2, 3, 4];
const NON_SEED_CONTROLLER: usize = 4;
const ZONE_COUNT: usize = 3;
/// Expected contents of the recorded disks.
const RECORDED_EPOCH: u64 = 13;
const RECORDED_REVISION: Revision = Revision(4);
const RECORDED_VIEW: ViewNumber = ViewNumber(4);
/// Enough capacity for a few writes at once.
const STORAGE_CAPACITY: Capacity = Capacity { max_pending_writes: 8, disk_bytes: 128 << 20 };

/// Contents of a recorded data directory.
struct Disk {
    consensus_state: PersistentState,
    /// Addresses of other controllers, stored only after one outside the settings is learned.
    known_peers: Vec<SocketAddrV4>,
}

fn recorded_disks_directory() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/disks")
}

fn recorded_configuration() -> String {
    fs::read_to_string(recorded_disks_directory().join("configuration.json")).unwrap()
}

fn copy_directory(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let to = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy_directory(&entry.path(), &to),
            false => drop(fs::copy(entry.path(), to).unwrap()),
        }
    }
}

/// Opens a copy of a recorded data directory and reads it as the host does.
fn read_disk(controller: usize) -> Disk {
    let directory = TempDir::new().unwrap();
    copy_directory(&recorded_disks_directory().join(controller.to_string()), directory.path());
    let storage = Storage::open(directory.path().into(), STORAGE_CAPACITY, None).unwrap();
    let consensus_state = storage.load(CONSENSUS_KEY).unwrap().expect("a consensus state is stored");
    let known_peers = storage.load(KNOWN_PEERS_KEY).unwrap();
    storage.close();
    let consensus_state = bitcode::decode(&consensus_state).unwrap();
    let known_peers = known_peers.map_or(Vec::new(), |bytes| bitcode::decode(&bytes).unwrap());
    Disk { consensus_state, known_peers }
}

fn internal_address(controller: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 10, 0, controller as u8), 7121)
}

#[test]
fn given_recorded_disks_when_read_then_all_hold_the_same_state_in_the_same_view() {
    let first = read_disk(1).consensus_state;
    for controller in CONTROLLERS {
        let Disk { consensus_state, known_peers } = read_disk(controller);
        assert_eq!(
            (consensus_state.chosen.view.number, consensus_state.state_view),
            (RECORDED_VIEW, RECORDED_VIEW)
        );
        assert_eq!(consensus_state.revision, RECORDED_REVISION);
        assert_eq!((&consensus_state.chosen, &consensus_state.state), (&first.chosen, &first.state));
        let own = consensus_state
            .chosen
            .view
            .members
            .iter()
            .find(|member| member.id == consensus_state.member_id)
            .unwrap();
        assert_eq!(own.addr, internal_address(controller));
        assert_eq!(own.zone, format!("zone-{}", (controller - 1) % ZONE_COUNT));
        let others = CONTROLLERS.into_iter().filter(|other| *other != controller);
        let others: Vec<SocketAddrV4> = others.map(internal_address).collect();
        assert_eq!(known_peers, if controller == NON_SEED_CONTROLLER { vec![] } else { others });
    }
}

#[test]
fn given_a_recorded_disk_when_its_state_is_read_then_it_holds_every_version() {
    for disk in CONTROLLERS.map(read_disk) {
        let control = ControlState::decode(&disk.consensus_state.state).unwrap();
        assert_eq!(control.epoch, RECORDED_EPOCH);
        assert_eq!(String::from_utf8(control.body).unwrap(), recorded_configuration());
        let versions =
            control.history.iter().map(|CommittedVersion { epoch, base_epoch: base, .. }| (*base, *epoch));
        assert_eq!(versions.collect::<Vec<_>>(), [(0, 3), (3, 5), (5, 8), (8, 13)]);
    }
}

#[test]
fn given_controllers_on_recorded_disks_when_a_change_builds_on_them_then_it_is_accepted() {
    let mut cluster = Cluster::new(0, 3, 1);
    for controller in CONTROLLERS {
        let Disk { consensus_state, known_peers } = read_disk(controller);
        cluster.put_disk(controller, consensus_state, known_peers);
        cluster.start(controller, false);
    }
    cluster.run(ms(6000));
    for controller in CONTROLLERS {
        assert_eq!(cluster.read_config(controller), (200, recorded_configuration()), "read at {controller}");
        assert_eq!(
            cluster.replace_config(controller, 8, &recorded_configuration()),
            200,
            "retry at {controller}"
        );
        assert_eq!(cluster.replace_config(controller, 8, &config_json(14, "on another version")), 412);
    }
    assert_eq!(cluster.replace_config(2, RECORDED_EPOCH, &config_json(21, "next")), 200);
    cluster.run(ms(50));
    for controller in CONTROLLERS {
        assert_eq!(cluster.read_config(controller), (200, config_json(21, "next")), "read at {controller}");
    }
}

/// Beginning of a state that a later release may write.
const UNKNOWN_STATE: &[u8] = b"\xFFlater";

// A controller that can't read the newest state would confirm an older configuration.
#[test]
fn given_a_state_that_cannot_be_decoded_when_it_is_delivered_then_the_controller_holds_no_lease() {
    let mut cluster = Cluster::new(0, 3, 1);
    for controller in CONTROLLERS {
        let Disk { consensus_state, known_peers } = read_disk(controller);
        let consensus_state = PersistentState { state: UNKNOWN_STATE.into(), ..consensus_state };
        cluster.put_disk(controller, consensus_state, known_peers);
        cluster.start(controller, false);
    }
    cluster.run(ms(6000));
    for controller in CONTROLLERS {
        assert!(!cluster.controller_mut(controller).holds_lease(), "lease at {controller}");
    }
}
