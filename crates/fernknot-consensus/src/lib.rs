//! Replicates the controllers' control state: a sequence of complete states in one total order, by Viewstamped
//! Replication with reconfiguration (Liskov and Cowling, "Viewstamped Replication Revisited", 2012). A change is
//! committed once all members of the view have stored it; the voters of one view choose the next by single-decree
//! Paxos, as in Vertical Paxos (Lamport, Malkhi and Zhou, 2009).
//!
//! Terms: the control state is one byte string, and a change replaces it as a whole. A revision is the position of a
//! state in the order of changes. A view is a numbered list of members, the replicas that store every change; its
//! first member is the leader. The voters of a view are its members and some earlier ones that still vote on the next
//! view. A view is chosen once the voters of the view before have decided on it, and active once changes can be
//! committed in it. An operator can force a view without votes, which begins a new era of view numbers. Durable means
//! written to disk and synced.
//!
//! The crate does no I/O and has no clock. The host, `fernknot-controller`, passes messages, write results and the
//! time to [`Consensus`], and polls [`Action`]s until there are none. The protocol's rules and the arguments for
//! their correctness are in docs/consensus.md.

#![deny(missing_docs)]

mod consensus;
mod disk_writes;
mod forced_view;
mod heartbeats;
mod lease;
mod read_index;
mod recovery;
mod replica;
mod replication;
mod state;
mod state_transfer;
mod status;
mod types;
mod validation;
mod view_activation;
mod view_change;

pub use consensus::Consensus;
pub use types::{
    AcceptedView, Action, ChosenView, ConsensusSettings, DurableProgress, ForceViewError, HeartbeatEcho,
    Ineligibility, KnownProgress, Member, MemberId, Message, PeerHeartbeat, PersistentState, ProposalInView,
    ProposalNumber, ReadIndexId, ReplicaStatus, Revision, SeededBug, StatePosition, View, ViewNumber,
    ViewStart, ViewStatus, WriteId,
};
