//! Messages between replicas are encoded as in earlier releases, so that both can run side by side.

#[path = "../../../tests/common/fixtures.rs"]
mod fixtures;
#[path = "common/samples.rs"]
mod samples;

use fernknot_consensus::{HeartbeatEcho, MemberId, Message, PeerHeartbeat, Revision, ViewNumber};
use fixtures::Fixtures;
use samples::{accepted_view, chosen_view, member, progress, proposal_number, state};

/// Returns the name under which a message is recorded. A new variant needs a name here and a value below.
fn recorded_name(message: &Message) -> &'static str {
    match message {
        Message::Heartbeat(_) => "heartbeat",
        Message::RecoveryResponse { .. } => "disk-progress",
        Message::NewerView { .. } => "newer-view",
        Message::StateTransfer { .. } => "snapshot",
        Message::Replicate { .. } => "append",
        Message::ReplicateAck { .. } => "appended",
        Message::Commit { .. } => "commit",
        Message::Prepare { revision: Some(_), .. } => "prepare",
        Message::Prepare { revision: None, .. } => "prepare-without-state",
        Message::Prepared { state: Some(_), .. } => "promise",
        Message::Prepared { state: None, .. } => "promise-without-state",
        Message::Rejected { .. } => "reject",
        Message::Accept { state: Some(_), .. } => "accept",
        Message::Accept { state: None, .. } => "accept-without-state",
        Message::Accepted { .. } => "accepted",
        Message::Chosen { .. } => "chosen",
        Message::ReadIndexRequest { .. } => "confirm-view",
        Message::ReadIndexResponse { .. } => "view-confirmed",
    }
}

fn heartbeat() -> PeerHeartbeat {
    PeerHeartbeat {
        sender: member(1),
        view: ViewNumber(501),
        state_view: ViewNumber(502),
        revision: Revision(503),
        prepared: proposal_number(504),
        accepted: proposal_number(505),
        recovering: true,
        commit_revision: Revision(506),
        view_active: false,
        changing_view: true,
        disk_healthy: false,
        incarnation: 507,
        sent_at: 508,
        echo: HeartbeatEcho { incarnation: 509, sent_at: 510 },
        reachable: vec![MemberId(511), MemberId(512)],
        suspected: vec![MemberId(513)],
    }
}

/// Returns a sample heartbeat with these flags.
fn heartbeat_with_flags(
    recovering: bool,
    view_active: bool,
    changing_view: bool,
    disk_healthy: bool,
) -> PeerHeartbeat {
    PeerHeartbeat { recovering, view_active, changing_view, disk_healthy, ..heartbeat() }
}

fn messages_of_a_view() -> Vec<Message> {
    vec![
        Message::Heartbeat(heartbeat()),
        Message::RecoveryResponse {
            sender: member(2),
            member_id: MemberId(601),
            incarnation: 602,
            progress: progress(),
        },
        Message::NewerView { chosen: chosen_view(603) },
        Message::StateTransfer {
            chosen: chosen_view(604),
            revision: Revision(605),
            state: state("snapshot of the state"),
        },
        Message::Replicate { view: ViewNumber(606), revision: Revision(607), state: state("changed state") },
        Message::ReplicateAck { sender: MemberId(608), view: ViewNumber(609), revision: Revision(610) },
        Message::Commit { view: ViewNumber(611), revision: Revision(612) },
        Message::ReadIndexRequest { view: ViewNumber(613), incarnation: 614, sequence: 615 },
        Message::ReadIndexResponse {
            sender: MemberId(616),
            view: ViewNumber(617),
            incarnation: 618,
            sequence: 619,
        },
    ]
}

fn messages_of_a_view_change() -> Vec<Message> {
    vec![
        Message::Prepare {
            proposal: proposal_number(701),
            current: chosen_view(702),
            revision: Some(Revision(703)),
        },
        Message::Prepare { proposal: proposal_number(704), current: chosen_view(705), revision: None },
        Message::Prepared {
            sender: member(3),
            proposal: proposal_number(706),
            view: ViewNumber(707),
            revision: Some(Revision(708)),
            state: Some(state("promised state")),
            accepted: Some(accepted_view(Some(state("accepted state")))),
        },
        Message::Prepared {
            sender: member(4),
            proposal: proposal_number(709),
            view: ViewNumber(710),
            revision: None,
            state: None,
            accepted: None,
        },
        Message::Rejected { view: ViewNumber(711), prepared: proposal_number(712) },
        Message::Accept {
            proposal: proposal_number(713),
            current: chosen_view(714),
            next: chosen_view(715),
            revision: Revision(716),
            state: Some(state("state of the next view")),
        },
        Message::Accept {
            proposal: proposal_number(717),
            current: chosen_view(718),
            next: chosen_view(719),
            revision: Revision(720),
            state: None,
        },
        Message::Accepted { sender: member(5), proposal: proposal_number(721), view: ViewNumber(722) },
        Message::Chosen { proposal: proposal_number(723), view: ViewNumber(724), view_active: true },
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
        fixtures.check(name, &Message::Heartbeat(heartbeat));
    }
    fixtures.finish();
}
