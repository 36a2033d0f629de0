//! The change of a view: who belongs to the next, when an attempt begins, and the Paxos among the voters of the last view
//! that chooses the next. A proposer goes through the phases of [`AttemptPhase`](crate::state::attempt::AttemptPhase);
//! what it may propose is the value rule of Paxos (Lamport, "Paxos Made Simple", section 2.2).

mod accept;
mod acceptor;
mod planning;
mod prepare;
mod proposer;
mod schedule;

pub(crate) use acceptor::AcceptRequest;
pub(crate) use prepare::PreparedReply;
