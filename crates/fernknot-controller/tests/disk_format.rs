//! The encodings of the control state and of the known addresses are the same as in earlier releases.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;

use fernknot_controller::{CommittedVersion, ControlState, RecordedUsage, ReplicatedState};
use fernknot_usage::{UsageRecord, WindowNumber};
use fixtures::Fixtures;
use std::net::{Ipv4Addr, SocketAddrV4};

fn control() -> ControlState {
    let history = vec![
        CommittedVersion { epoch: 101, base_epoch: 102, digest: 103 },
        CommittedVersion { epoch: 104, base_epoch: 105, digest: u64::MAX - 106 },
    ];
    ControlState { epoch: 107, body: b"{\"epoch\":107}".to_vec(), history }
}

/// Value stored under the key of known addresses: a plain list.
fn known_addresses() -> Vec<SocketAddrV4> {
    [(1, 7301), (2, 7302)].map(|(host, port)| SocketAddrV4::new(Ipv4Addr::new(10, 5, 6, host), port)).to_vec()
}

#[test]
fn given_recorded_disks_when_encoded_and_decoded_then_bytes_and_values_are_the_same() {
    let mut fixtures = Fixtures::open("disk_format.hex");
    fixtures.check("control", &control());
    fixtures.check("control-before-the-first-version", &ControlState::default());
    fixtures.check("known-addresses", &known_addresses());
    fixtures.finish();
}

#[test]
fn given_a_control_state_when_written_and_read_then_it_is_the_recorded_one() {
    let recorded = Fixtures::open("disk_format.hex").take("control");
    assert_eq!(control().encode(), recorded);
    assert_eq!(ControlState::decode(&recorded).unwrap(), control());
    assert_eq!(ControlState::decode(&[]).unwrap(), ControlState::default(), "the state before the first one");
}

#[test]
fn given_a_state_with_usage_when_written_and_read_then_it_is_the_recorded_one() {
    let recorded = Fixtures::open("usage_format.hex").take("control-with-usage");
    let version = CommittedVersion { epoch: 300, base_epoch: 150, digest: u64::MAX };
    let control = ControlState::default().with_committed(version, vec![0xFF; 3]);
    let mut record = UsageRecord::starting_at(WindowNumber(353_445_120));
    record.fix_next(vec![("goye841".into(), 412), ("milo40".into(), 412)]);
    let usage = RecordedUsage { record, state_revision: 12, config_revision: 9 };
    let state = ReplicatedState { control, usage: Some(usage) };
    assert_eq!(state.clone().encode(), recorded);
    assert_eq!(ReplicatedState::decode(&recorded).unwrap(), state);
}
