//! Actions that the host, the program that drives the engine, carries out, and the final answers to multigets.

use crate::multiget::{RequesterId, Stage};
use fernknot::interface::{AttemptNumber, Nanos, NodeId, Outcome, PartId, ShardId, Update};
use fernknot_protocol::multiget::BlockState;

/// Final answer to a multiget.
#[derive(Clone, Debug, PartialEq)]
pub enum Verdict {
    /// Enough parts were answered for a complete answer, or for a partial one that may be given and is not worth
    /// delaying.
    Completed {
        /// Whether enough parts were answered for a complete answer.
        is_complete: bool,
        /// Values of the answered parts, each with its shard; empty strings where the host keeps the values itself.
        values: Vec<(ShardId, String)>,
        /// Index of each answered part among the parts of the multiget, and the attempt that answered it.
        answered_by: Vec<(usize, AttemptNumber)>,
        /// State of each block that a query in two phases could fetch; `None` for any other multiget.
        blocks: Option<Vec<(ShardId, BlockState)>>,
    },
    /// The multiget is rejected. Nothing can have run that is not idempotent, so a retry is harmless.
    Rejected {
        /// Time to wait before a retry, if one is suggested.
        retry_after: Option<Nanos>,
    },
    /// The multiget failed. Parts of it that are not idempotent may have run, or its client has stopped waiting.
    Failed,
}

/// Action that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends an attempt to a node.
    Send {
        /// Part to send.
        part: PartId,
        /// Number of the attempt among those of the part, from 0.
        number: AttemptNumber,
        /// Node to send it to.
        node: NodeId,
    },
    /// Stops waiting for an attempt. The host then reports the attempt's end with
    /// [`Engine::attempt_ended`](crate::Engine::attempt_ended): with `outcome`, or as never sent if no byte was sent.
    Cancel {
        /// Part that the attempt belongs to.
        part: PartId,
        /// Number of the attempt among those of the part, from 0.
        number: AttemptNumber,
        /// Outcome to report if any byte of the attempt was sent: cancelled or timed out.
        outcome: Outcome,
    },
    /// Sends the final answer of a multiget to its requester.
    Answer {
        /// Requester of the multiget.
        requester: RequesterId,
        /// Final answer.
        verdict: Verdict,
        /// Stage of the multiget when it got its final answer.
        stage: Stage,
    },
    /// Requests the list of nodes and subscribes to its changes.
    SubscribeToNodeList,
    /// Sends nothing further over those connections to a node on which nothing was received since an attempt that is
    /// still in flight was sent: the connection may be at fault, not the node.
    RenewConnections {
        /// Node at the other end of the connections.
        node: NodeId,
    },
    /// Sends updates on nodes to the peers, the other routers that use the same nodes.
    NotifyPeers {
        /// Nodes, and what happened to an attempt there.
        updates: Vec<(NodeId, Update)>,
    },
}
