//! The replicated state is readable with and without usage, and usage doesn't count as a new configuration.

use fernknot_controller::{CommittedVersion, ControlState, RecordedUsage, ReplicatedState};
use fernknot_usage::{UsageRecord, WindowNumber};
use test_case::test_case;

fn control(epoch: u64, body_bytes: usize) -> ControlState {
    let version = CommittedVersion { epoch, base_epoch: epoch / 2, digest: u64::MAX };
    ControlState::default().with_committed(version, vec![0xFF; body_bytes])
}

fn recorded_usage() -> RecordedUsage {
    let mut record = UsageRecord::starting_at(WindowNumber(353_445_120));
    record.fix_next(vec![("goye841".into(), 412), ("milo40".into(), 412)]);
    RecordedUsage { record, state_revision: 12, config_revision: 9 }
}

#[test_case(0, 0)]
#[test_case(1, 1)]
#[test_case(300, 300)]
#[test_case(70_000, 70_000)]
#[test_case(u64::MAX, 3)]
fn given_a_state_without_usage_when_encoded_then_it_is_the_bare_control_state(epoch: u64, body_bytes: usize) {
    let control = control(epoch, body_bytes);
    let state = ReplicatedState { control: control.clone(), usage: None };
    assert_eq!(state.clone().encode(), control.encode());
    assert_eq!(ReplicatedState::decode(&control.encode()).unwrap(), state);
    assert_eq!(state.config_revision(7), 7);
}

#[test]
fn given_a_state_with_usage_when_encoded_and_decoded_then_it_is_the_same() {
    let state = ReplicatedState { control: control(300, 300), usage: Some(recorded_usage()) };
    assert_eq!(ReplicatedState::decode(&state.clone().encode()).unwrap(), state);
    assert!(ControlState::decode(&state.encode()).is_err(), "never taken for a state without usage");
}

#[test]
fn given_a_damaged_state_with_usage_when_decoded_then_it_is_an_error() {
    let bytes = ReplicatedState { control: control(300, 3), usage: Some(recorded_usage()) }.encode();
    for length in 1..bytes.len() {
        assert!(ReplicatedState::decode(&bytes[..length]).is_err(), "the first {length} bytes");
    }
}

#[test]
fn given_no_state_when_decoded_then_it_is_the_one_before_the_first_change() {
    assert_eq!(ReplicatedState::decode(&[]).unwrap(), ReplicatedState::default());
}

#[test]
fn given_usage_that_was_recorded_later_when_delivered_then_the_configuration_keeps_its_revision() {
    let state = ReplicatedState { control: control(300, 3), usage: Some(recorded_usage()) };
    assert_eq!(state.config_revision(12), 9);
}

#[test]
fn given_a_forced_view_when_it_delivers_the_state_again_then_the_configuration_counts_as_new() {
    let state = ReplicatedState { control: control(300, 3), usage: Some(recorded_usage()) };
    assert_eq!(state.config_revision(1 << 40), 1 << 40);
}
