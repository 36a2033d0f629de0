//! Actions that the replica requests of its host, and the ids of writes and read indexes.

use std::net::SocketAddrV4;
use std::sync::Arc;

use bitcode::{Decode, Encode};
use fernknot::interface::Nanos;

use super::member::MemberId;
use super::message::Message;
use super::persistent_state::PersistentState;
use super::view::{Revision, View, ViewNumber};

/// Identifier of one write to disk, unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct WriteId(pub u64);

/// Identifier of one read index, assigned by the host and unique within a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReadIndexId(pub u64);

/// Action that the host has to carry out.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[must_use = "the host has to carry it out"]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// Address on which the receiving replica listens for others.
        to: SocketAddrV4,
        /// Message to pass to `handle_message` of the receiving replica.
        message: Message,
    },
    /// Write to disk and sync, then call [`Consensus::handle_write_result`](crate::Consensus::handle_write_result).
    /// The next write is requested only after that call; a write that was reported as failed may still be under way
    /// then.
    Persist {
        /// Identifier of the write, passed back with its result.
        write_id: WriteId,
        /// The complete state to write; it replaces all that was written before.
        state: PersistentState,
    },
    /// A committed state. Every member delivers states in the same order. After a start, the newest one is delivered
    /// once the view is active.
    Deliver {
        /// Number of the active view in which the state is delivered.
        view: ViewNumber,
        /// Revision of the state, higher than that of any state that this process has delivered under the same member
        /// id.
        revision: Revision,
        /// Complete state, as passed to [`Consensus::propose`](crate::Consensus::propose); empty before the first
        /// change.
        state: Arc<[u8]>,
    },
    /// The change is on the disk of every member of its view, or of the next view, whose first state includes it: no
    /// faults within `fault_tolerance` can undo it.
    Committed {
        /// The id that was passed to [`Consensus::propose`](crate::Consensus::propose).
        change_id: u64,
        /// Revision that the change was assigned.
        revision: Revision,
    },
    /// The change is not committed and never will be. The outcome of a change that gets neither this nor
    /// [`Action::Committed`] is unknown.
    Rejected {
        /// The id that was passed to [`Consensus::propose`](crate::Consensus::propose).
        change_id: u64,
    },
    /// This replica is a member of the view, and the view is active.
    ViewActivated {
        /// The view with its members, the leader first.
        view: View,
    },
    /// This replica is no longer a member of the view. It keeps asking to join again without the host's help.
    ViewLeft,
    /// The disk was outdated, or a forced view has excluded it: this replica continues under a new id with an empty
    /// disk, and asks to join.
    IdentityReplaced {
        /// Id that this replica had until now, and will not use again.
        previous: MemberId,
        /// Id that this replica uses from here on; the next [`Action::Persist`] stores it.
        current: MemberId,
    },
    /// After the read index was requested, a majority of the voters was in the view and not changing it. All that was
    /// committed before the request has been delivered here.
    ReadIndexConfirmed {
        /// The id that was passed to [`Consensus::read_index`](crate::Consensus::read_index).
        read_index: ReadIndexId,
    },
    /// Request to call [`Consensus::poll_action`](crate::Consensus::poll_action) again after `after` at the latest.
    Wake {
        /// Time from the `now` of the call that returned this action.
        after: Nanos,
    },
}
