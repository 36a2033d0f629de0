//! What the host is to do, and the ids by which it refers to what it asked for.

use std::net::SocketAddrV4;
use std::sync::Arc;

use bitcode::{Decode, Encode};
use fernknot::interface::Nanos;

use super::member::MemberId;
use super::message::Message;
use super::persistent_state::PersistentState;
use super::view::{Revision, View, ViewNumber};

/// Identifies one write to disk. Never used twice by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct WriteId(pub u64);

/// Identifies one read index; given by the host, never used twice by a process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Encode, Decode)]
pub struct ReadIndexId(pub u64);

/// What the host is to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
#[must_use = "the host has to carry it out"]
pub enum Action {
    /// Send a message; it may be lost.
    Send {
        /// The receiver.
        to: SocketAddrV4,
        /// What to send.
        message: Message,
    },
    /// Write and sync, then call [`Consensus::handle_write_result`](crate::Consensus::handle_write_result). Only one
    /// write is in flight at a time, except after a failure.
    Persist {
        /// Names the write in its result.
        write_id: WriteId,
        /// Replaces all that was written before.
        state: PersistentState,
    },
    /// A committed state: in one order on every member; also once after a start, when the view is active.
    Deliver {
        /// The active view.
        view: ViewNumber,
        /// The state's revision.
        revision: Revision,
        /// The complete state.
        state: Arc<[u8]>,
    },
    /// The change is on disk with every member of its view: no faults within the tolerance can undo it.
    Committed {
        /// The id that was given to [`Consensus::propose`](crate::Consensus::propose).
        change_id: u64,
        /// The change's revision.
        revision: Revision,
    },
    /// The change is certainly not committed, now or later. A change that gets neither this nor
    /// [`Action::Committed`] is unresolved.
    Rejected {
        /// The id that was given to [`Consensus::propose`](crate::Consensus::propose).
        change_id: u64,
    },
    /// This replica is a member of the view, and the view is active.
    ViewActivated {
        /// The active view.
        view: View,
    },
    /// This replica is in no view any more; it asks to join again by itself.
    ViewLeft,
    /// The disk was outdated, or a forced view has excluded it: this replica continues as a new member with an empty
    /// disk, and asks to join.
    IdentityReplaced {
        /// The id that counts no more.
        previous: MemberId,
        /// The id to use from here on.
        current: MemberId,
    },
    /// A majority of the voters was in the view, and not changing it, after the read index was requested, and all that
    /// was committed before the request has been delivered here.
    ReadIndexConfirmed {
        /// The id that was given to [`Consensus::read_index`](crate::Consensus::read_index).
        read_index: ReadIndexId,
    },
    /// Call [`Consensus::poll_action`](crate::Consensus::poll_action) again after this long at the latest.
    Wake {
        /// From the time of the call that gave this.
        after: Nanos,
    },
}
