//! Pending read index requests: each asks a majority to confirm the view on behalf of a waiter, until a deadline.

use crate::action::PendingCall;
use crate::consensus_driver::ConsensusDriver;
use fernknot::interface::Nanos;
use fernknot_consensus::ReadIndexId;
use std::collections::BTreeMap;

/// Call or change that a majority's confirmation lets proceed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumWaiter {
    /// A pending configuration change, by its number.
    ConfigChange(u64),
    /// Call of an operator that reads the configuration.
    ReadConfig(PendingCall),
    /// Call that checks the readiness of this controller.
    Readiness(PendingCall),
    /// Call of a node that drains or deregisters.
    NodeDrain(PendingCall),
}

impl QuorumWaiter {
    fn waits_for(self, call: PendingCall) -> bool {
        match self {
            QuorumWaiter::ConfigChange(_) => false,
            QuorumWaiter::ReadConfig(waiting_call)
            | QuorumWaiter::Readiness(waiting_call)
            | QuorumWaiter::NodeDrain(waiting_call) => waiting_call == call,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingReadIndex {
    waiter: QuorumWaiter,
    deadline: Nanos,
}

/// All pending read index requests of this controller.
#[derive(Debug, Default)]
pub struct PendingReadIndexes {
    by_id: BTreeMap<ReadIndexId, PendingReadIndex>,
    last_id: u64,
}

impl PendingReadIndexes {
    /// Asks a majority on behalf of `waiter`. Returns false if no majority is reachable or too many requests are
    /// pending.
    pub fn begin(
        &mut self,
        consensus: &mut ConsensusDriver,
        now: Nanos,
        waiter: QuorumWaiter,
        timeout: Nanos,
    ) -> bool {
        self.last_id += 1;
        let id = ReadIndexId(self.last_id);
        let requested = consensus.read_index(now, id);
        if requested {
            self.by_id.insert(id, PendingReadIndex { waiter, deadline: now + timeout });
        }
        requested
    }

    /// Completes a request that a majority has confirmed. Returns its waiter, unless the request was cancelled.
    pub fn complete(&mut self, id: ReadIndexId) -> Option<QuorumWaiter> {
        self.by_id.remove(&id).map(|read| read.waiter)
    }

    /// Cancels the request of a caller that disconnected.
    pub fn cancel_call(&mut self, consensus: &mut ConsensusDriver, call: PendingCall) {
        self.take_where(consensus, |read| read.waiter.waits_for(call));
    }

    /// Cancels the requests whose deadline has passed, or all requests if no majority is reachable. Returns their
    /// waiters.
    pub fn take_expired(
        &mut self,
        consensus: &mut ConsensusDriver,
        now: Nanos,
        partitioned: bool,
    ) -> Vec<QuorumWaiter> {
        self.take_where(consensus, |read| partitioned || read.deadline <= now)
    }

    fn take_where(
        &mut self,
        consensus: &mut ConsensusDriver,
        is_selected: impl Fn(&PendingReadIndex) -> bool,
    ) -> Vec<QuorumWaiter> {
        let selected = self.by_id.extract_if(.., |_, read| is_selected(read));
        selected
            .map(|(id, read)| {
                consensus.cancel_read_index(id);
                read.waiter
            })
            .collect()
    }

    /// Whether no request is pending.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// Earliest deadline of a pending request; None if no request is pending.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.by_id.values().map(|read| read.deadline).min()
    }
}
