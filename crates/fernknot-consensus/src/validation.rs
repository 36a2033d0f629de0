//! Size limits of received messages. A message that exceeds any of them is dropped.

use crate::state::peers::MAX_PEERS;
use crate::types::{ChosenView, MAX_MEMBERS, MAX_VIEW_STARTS, Member, Message};

/// Maximum length of a zone's name in bytes.
const MAX_ZONE_BYTES: usize = 256;

/// Whether the message is within all limits.
pub(crate) fn is_valid_message(message: &Message) -> bool {
    match message {
        Message::Heartbeat(heartbeat) => {
            is_valid_member(&heartbeat.sender)
                && heartbeat.reachable.len() <= MAX_PEERS
                && heartbeat.suspected.len() <= MAX_PEERS
        }
        Message::NewerView { chosen }
        | Message::StateTransfer { chosen, .. }
        | Message::Prepare { current: chosen, .. } => is_valid_chosen_view(chosen),
        Message::Prepared { sender, accepted, .. } => {
            let accepted = accepted.as_ref().map(|accepted| &accepted.next);
            is_valid_member(sender) && accepted.is_none_or(is_valid_chosen_view)
        }
        Message::Accept { current, next, .. } => is_valid_chosen_view(current) && is_valid_chosen_view(next),
        Message::Accepted { sender, .. } | Message::RecoveryResponse { sender, .. } => {
            is_valid_member(sender)
        }
        Message::ReplicateAck { .. }
        | Message::Replicate { .. }
        | Message::Commit { .. }
        | Message::Rejected { .. }
        | Message::Chosen { .. }
        | Message::ReadIndexRequest { .. }
        | Message::ReadIndexResponse { .. } => true,
    }
}

fn is_valid_member(member: &Member) -> bool {
    member.zone.len() <= MAX_ZONE_BYTES
}

fn is_valid_chosen_view(chosen: &ChosenView) -> bool {
    chosen.view.members.len() <= MAX_MEMBERS
        && chosen.view.former_voters.len() <= MAX_MEMBERS
        && chosen.view_starts.len() <= MAX_VIEW_STARTS
        && chosen.view.voters().all(is_valid_member)
}
