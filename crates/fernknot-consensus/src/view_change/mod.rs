//! View changes: planning the members of the next view, scheduling attempts, and choosing the next view by Paxos
//! among the voters of the last one. A proposer goes through the phases of
//! [`AttemptPhase`](crate::state::attempt::AttemptPhase); the value rule of Paxos (Lamport, "Paxos Made Simple",
//! section 2.2) determines which view it may propose.

mod accept;
mod acceptor;
mod planning;
mod prepare;
mod proposer;
mod schedule;

pub(crate) use acceptor::AcceptRequest;
pub(crate) use prepare::PreparedReply;
