//! Read index: who waits for a majority to confirm the view, and until when.

use crate::action::PendingCall;
use crate::consensus_driver::ConsensusDriver;
use fernknot::interface::Nanos;
use fernknot_consensus::ReadIndexId;
use std::collections::BTreeMap;

/// Who waits for the confirmation of a majority.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuorumWaiter {
    /// A pending configuration change, by its number.
    ConfigChange(u64),
    /// An operator that reads the configuration.
    ReadConfig(PendingCall),
    /// A caller that asks whether this controller is ready.
    Readiness(PendingCall),
    /// A node that announces that it leaves.
    NodeDrain(PendingCall),
}

impl QuorumWaiter {
    fn waits_for(self, call: PendingCall) -> bool {
        match self {
            QuorumWaiter::ConfigChange(_) => false,
            QuorumWaiter::ReadConfig(own) | QuorumWaiter::Readiness(own) | QuorumWaiter::NodeDrain(own) => {
                own == call
            }
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct PendingRead {
    waiter: QuorumWaiter,
    deadline: Nanos,
}

/// All requests for a read index that are pending here.
#[derive(Debug, Default)]
pub struct PendingReads {
    by_id: BTreeMap<ReadIndexId, PendingRead>,
    last_id: u64,
}

impl PendingReads {
    /// Asks a majority on behalf of `waiter`. False where that is of no use.
    pub fn begin(
        &mut self,
        consensus: &mut ConsensusDriver,
        now: Nanos,
        waiter: QuorumWaiter,
        timeout: Nanos,
    ) -> bool {
        self.last_id += 1;
        let id = ReadIndexId(self.last_id);
        let asked = consensus.read_index(now, id);
        if asked {
            self.by_id.insert(id, PendingRead { waiter, deadline: now + timeout });
        }
        asked
    }

    /// A majority has confirmed the request: its waiter, if it still waits.
    pub fn complete(&mut self, id: ReadIndexId) -> Option<QuorumWaiter> {
        self.by_id.remove(&id).map(|read| read.waiter)
    }

    /// The caller has gone: nobody waits for its reply.
    pub fn cancel_call(&mut self, consensus: &mut ConsensusDriver, call: PendingCall) {
        self.take_where(consensus, |read| read.waiter.waits_for(call));
    }

    /// Ends the requests whose deadline is over; all of them where no majority is reachable.
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
        ends: impl Fn(&PendingRead) -> bool,
    ) -> Vec<QuorumWaiter> {
        let ended = self.by_id.extract_if(.., |_, read| ends(read));
        ended
            .map(|(id, read)| {
                consensus.cancel_read_index(id);
                read.waiter
            })
            .collect()
    }

    /// Whether nobody waits.
    pub fn is_empty(&self) -> bool {
        self.by_id.is_empty()
    }

    /// The earliest deadline.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.by_id.values().map(|read| read.deadline).min()
    }
}
