//! Disks that an earlier release left behind are read: the configuration is the same, and a change on top of
//! it is accepted.
//!
//! `fixtures/disks` holds the folders of four controllers, the first three of them seeds, written by the programs
//! of commit 25f41f5: versions 3 and 5 were accepted by all, 8 while the third was down, 13 once it was back. Then
//! all were stopped. `fernknot-testbed` starts the real programs on the same folders.

mod common;

use common::{Fleet, config_json, ms};
use fernknot_consensus::{PersistentState, Revision, ViewNumber};
use fernknot_controller::{CommittedVersion, ControlState};
use fernknot_storage::{Capacity, Storage};
use std::fs;
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::{Path, PathBuf};
use tempfile::TempDir;

/// Under these names the host keeps the state of the consensus, and the addresses of other controllers.
const CONSENSUS_KEY: &str = "views";
const ADDRESSES_KEY: &str = "known";
/// The recorded controllers.
const NUMBERS: [usize; 4] = [1, 2, 3, 4];
const NOT_A_SEED: usize = 4;
const ZONES: usize = 3;
/// What the recorded configurations left behind.
const RECORDED_VERSION: u64 = 13;
const RECORDED_ORDER: Revision = Revision(4);
const RECORDED_VIEW: ViewNumber = ViewNumber(4);
/// Enough for a few writes at once.
const SPACE: Capacity = Capacity { max_pending_writes: 8, disk_bytes: 128 << 20 };

/// What one of the recorded folders holds.
struct Disk {
    saved: PersistentState,
    /// The other controllers, kept only once one is heard of that the settings don't name.
    known: Vec<SocketAddrV4>,
}

fn recorded() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/disks")
}

fn recorded_configuration() -> String {
    fs::read_to_string(recorded().join("configuration.json")).unwrap()
}

fn copy(from: &Path, to: &Path) {
    fs::create_dir_all(to).unwrap();
    for entry in fs::read_dir(from).unwrap() {
        let entry = entry.unwrap();
        let to = to.join(entry.file_name());
        match entry.file_type().unwrap().is_dir() {
            true => copy(&entry.path(), &to),
            false => drop(fs::copy(entry.path(), to).unwrap()),
        }
    }
}

/// Opens a copy of a recorded folder and reads it as the host does.
fn read_disk(number: usize) -> Disk {
    let folder = TempDir::new().unwrap();
    copy(&recorded().join(number.to_string()), folder.path());
    let storage = Storage::open(folder.path().into(), SPACE, None).unwrap();
    let saved = storage.load(CONSENSUS_KEY).unwrap().expect("the state of the consensus");
    let known = storage.load(ADDRESSES_KEY).unwrap();
    storage.close();
    let saved = bitcode::decode(&saved).unwrap();
    let known = known.map_or(Vec::new(), |bytes| bitcode::decode(&bytes).unwrap());
    Disk { saved, known }
}

fn inner_address(number: usize) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(127, 10, 0, number as u8), 7121)
}

#[test]
fn given_recorded_disks_when_read_then_all_hold_the_same_state_in_the_same_view() {
    let first = read_disk(1).saved;
    for number in NUMBERS {
        let Disk { saved, known } = read_disk(number);
        assert_eq!((saved.chosen.view.number, saved.state_view), (RECORDED_VIEW, RECORDED_VIEW));
        assert_eq!(saved.revision, RECORDED_ORDER);
        assert_eq!((&saved.chosen, &saved.state), (&first.chosen, &first.state));
        let own = saved.chosen.view.members.iter().find(|member| member.id == saved.member_id).unwrap();
        assert_eq!(own.addr, inner_address(number));
        assert_eq!(own.zone, format!("zone-{}", (number - 1) % ZONES));
        let others = NUMBERS.into_iter().filter(|other| *other != number);
        let others: Vec<SocketAddrV4> = others.map(inner_address).collect();
        assert_eq!(known, if number == NOT_A_SEED { vec![] } else { others });
    }
}

#[test]
fn given_a_recorded_disk_when_its_state_is_read_then_it_holds_every_version() {
    for disk in NUMBERS.map(read_disk) {
        let control = ControlState::decode(&disk.saved.state).unwrap();
        assert_eq!(control.epoch, RECORDED_VERSION);
        assert_eq!(String::from_utf8(control.body).unwrap(), recorded_configuration());
        let versions =
            control.history.iter().map(|CommittedVersion { epoch, base_epoch: base, .. }| (*base, *epoch));
        assert_eq!(versions.collect::<Vec<_>>(), [(0, 3), (3, 5), (5, 8), (8, 13)]);
    }
}

#[test]
fn given_controllers_on_recorded_disks_when_a_change_builds_on_them_then_it_is_accepted() {
    let mut fleet = Fleet::new(0, 3, 1);
    for number in NUMBERS {
        let Disk { saved, known } = read_disk(number);
        fleet.put_disk(number, saved, known);
        fleet.start(number, false);
    }
    fleet.run(ms(6000));
    for at in NUMBERS {
        assert_eq!(fleet.read(at), (200, recorded_configuration()), "read at {at}");
        assert_eq!(fleet.replace(at, 8, &recorded_configuration()), 200, "its repeat at {at}");
        assert_eq!(fleet.replace(at, 8, &config_json(14, "on another version")), 412);
    }
    assert_eq!(fleet.replace(2, RECORDED_VERSION, &config_json(21, "next")), 200);
    fleet.run(ms(50));
    for at in NUMBERS {
        assert_eq!(fleet.read(at), (200, config_json(21, "next")), "read at {at}");
    }
}
