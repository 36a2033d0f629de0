//! What the host is to do, and how multigets end.

use crate::multiget::{RequesterId, Stage};
use fernknot::interface::{AttemptNumber, Nanos, NodeId, Outcome, PartId, ShardId, Update};
use fernknot_protocol::multiget::BlockState;

/// The final answer to a multiget.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Parts are in: enough of them, or all that came by the end.
    Completed {
        /// Enough parts are in for a complete answer.
        is_complete: bool,
        /// The value of each part that is in.
        found: Vec<(ShardId, String)>,
        /// The index of each part that is in, and the attempt that answered it.
        found_by: Vec<(usize, AttemptNumber)>,
        /// What became of each block of a query in two phases.
        blocks: Option<Vec<(ShardId, BlockState)>>,
    },
    /// The multiget is rejected; a retry is harmless.
    Rejected {
        /// The wait before a retry, where there is one.
        retry_after: Option<Nanos>,
    },
    /// The multiget failed after parts of it may have run.
    Failed,
}

/// What the host is to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt to a node.
    Send {
        /// The part.
        part: PartId,
        /// The attempt's number among those of the part.
        no: AttemptNumber,
        /// The node.
        node: NodeId,
    },
    /// Stops waiting for an attempt. The host reports its end: this outcome, or that it was never sent.
    Cancel {
        /// The part.
        part: PartId,
        /// The attempt's number among those of the part.
        no: AttemptNumber,
        /// The outcome of an attempt that was sent.
        outcome: Outcome,
    },
    /// Gives a multiget its final answer.
    Answer {
        /// Who asked.
        asker: RequesterId,
        /// The answer.
        verdict: Verdict,
        /// Where the multiget stood.
        ended: Stage,
    },
    /// Asks for the list of nodes, and follows its changes.
    FollowList,
    /// Takes connections to a node out of use on which nothing has come since attempts were sent.
    RenewConnections {
        /// The node.
        node: NodeId,
    },
    /// Sends updates on nodes to the peers.
    NotifyPeers {
        /// What became of attempts, by their nodes.
        updates: Vec<(NodeId, Update)>,
    },
}
