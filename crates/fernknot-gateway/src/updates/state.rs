//! What passes between the relay of updates and the rest of the gateway.

use fernknot_net::ConnectionId;
use fernknot_registry::{NodeDirectory, NodeRecord};
use fernknot_rpc::{InspectionTopic, Subscription};
use fernknot_schema::RoutingConfig;

/// What this gateway knows, for those that subscribe to it.
pub(crate) struct LocalState<'a> {
    pub(crate) nodes: &'a NodeDirectory,
    /// The configuration in force, with its revision.
    pub(crate) config: Option<(u64, &'a RoutingConfig)>,
    /// A source has sent a complete snapshot.
    pub(crate) is_synchronized: bool,
    pub(crate) is_ready: bool,
}

/// What was received for the gateway itself.
pub(crate) enum Update {
    /// A configuration that is in force, and its revision.
    Config { revision: u64, config: RoutingConfig },
    /// Records of nodes.
    Nodes(Vec<NodeRecord>),
    /// All records of a subscription have been sent since this watermark of the directory.
    SnapshotComplete { watermark: u64, subscription: Subscription },
    /// A source that is in touch with the controllers has sent a heartbeat.
    SourceHealthy,
    /// An operator asks what is known here.
    Inspect { connection: ConnectionId, topic: InspectionTopic },
}
