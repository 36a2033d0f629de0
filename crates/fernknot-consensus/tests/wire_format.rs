//! Messages between replicas are encoded as in earlier releases, so that both can run side by side.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "common/samples.rs"]
mod samples;

use fernknot_consensus::{MemberId, OrderNo, Pulse, ViewNo, Word};
use fixtures::Fixtures;
use samples::{ballot, base, mark, member, state, vouched};

/// The name under which a message is recorded. A new variant has to be named here, and given a value below.
fn recorded_name(word: &Word) -> &'static str {
    match word {
        Word::Pulse(_) => "heartbeat",
        Word::Recall { .. } => "disk-progress",
        Word::Told { .. } => "newer-view",
        Word::Whole { .. } => "snapshot",
        Word::Change { .. } => "append",
        Word::Have { .. } => "appended",
        Word::Commit { .. } => "commit",
        Word::Stop { no: Some(_), .. } => "prepare",
        Word::Stop { no: None, .. } => "prepare-without-state",
        Word::Stopped { state: Some(_), .. } => "promise",
        Word::Stopped { state: None, .. } => "promise-without-state",
        Word::Outdone { .. } => "reject",
        Word::Install { state: Some(_), .. } => "accept",
        Word::Install { state: None, .. } => "accept-without-state",
        Word::Installed { .. } => "accepted",
        Word::Chosen { .. } => "chosen",
        Word::Confirm { .. } => "confirm-view",
        Word::Confirmed { .. } => "view-confirmed",
    }
}

fn heartbeat() -> Pulse {
    Pulse {
        who: member(1),
        view: ViewNo(501),
        held: ViewNo(502),
        no: OrderNo(503),
        promise: ballot(504),
        vouched: ballot(505),
        asks: true,
        commit: OrderNo(506),
        force: false,
        stopped: true,
        well: false,
        life: 507,
        at: 508,
        echo: (509, 510),
        hears: vec![MemberId(511), MemberId(512)],
        deaf: vec![MemberId(513)],
    }
}

/// The heartbeat with other flags.
fn heartbeat_with_flags(asks: bool, force: bool, stopped: bool, well: bool) -> Pulse {
    Pulse { asks, force, stopped, well, ..heartbeat() }
}

fn messages_of_a_view() -> Vec<Word> {
    vec![
        Word::Pulse(heartbeat()),
        Word::Recall { who: member(2), of: MemberId(601), life: 602, mark: mark() },
        Word::Told { base: base(603) },
        Word::Whole { base: base(604), no: OrderNo(605), state: state("snapshot of the state") },
        Word::Change { view: ViewNo(606), no: OrderNo(607), state: state("changed state") },
        Word::Have { who: MemberId(608), view: ViewNo(609), no: OrderNo(610) },
        Word::Commit { view: ViewNo(611), no: OrderNo(612) },
        Word::Confirm { view: ViewNo(613), life: 614, round: 615 },
        Word::Confirmed { who: MemberId(616), view: ViewNo(617), life: 618, round: 619 },
    ]
}

fn messages_of_a_view_change() -> Vec<Word> {
    vec![
        Word::Stop { ballot: ballot(701), base: base(702), no: Some(OrderNo(703)) },
        Word::Stop { ballot: ballot(704), base: base(705), no: None },
        Word::Stopped {
            who: member(3),
            ballot: ballot(706),
            base: ViewNo(707),
            holds: Some(OrderNo(708)),
            state: Some(state("promised state")),
            vouched: Some(vouched(Some(state("accepted state")))),
        },
        Word::Stopped {
            who: member(4),
            ballot: ballot(709),
            base: ViewNo(710),
            holds: None,
            state: None,
            vouched: None,
        },
        Word::Outdone { base: ViewNo(711), promise: ballot(712) },
        Word::Install {
            ballot: ballot(713),
            base: base(714),
            next: base(715),
            no: OrderNo(716),
            state: Some(state("state of the next view")),
        },
        Word::Install {
            ballot: ballot(717),
            base: base(718),
            next: base(719),
            no: OrderNo(720),
            state: None,
        },
        Word::Installed { who: member(5), ballot: ballot(721), base: ViewNo(722) },
        Word::Chosen { ballot: ballot(723), base: ViewNo(724), force: true },
    ]
}

#[test]
fn given_recorded_messages_when_encoded_and_decoded_then_bytes_and_values_are_the_same() {
    let mut fixtures = Fixtures::open("wire_format.hex");
    for message in messages_of_a_view().into_iter().chain(messages_of_a_view_change()) {
        fixtures.check(recorded_name(&message), &message);
    }
    let one_flag_each = [
        ("heartbeat-asks", heartbeat_with_flags(true, false, false, false)),
        ("heartbeat-in-force", heartbeat_with_flags(false, true, false, false)),
        ("heartbeat-stopped", heartbeat_with_flags(false, false, true, false)),
        ("heartbeat-well", heartbeat_with_flags(false, false, false, true)),
    ];
    for (name, heartbeat) in one_flag_each {
        fixtures.check(name, &Word::Pulse(heartbeat));
    }
    fixtures.finish();
}
