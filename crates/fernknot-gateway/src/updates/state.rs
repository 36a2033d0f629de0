//! Data passed between the relay of updates and the rest of the gateway.

use fernknot_net::ConnectionId;
use fernknot_registry::{NodeDirectory, NodeRecord};
use fernknot_rpc::{InspectionTopic, Subscription};
use fernknot_schema::RoutingConfig;

/// State of this gateway that its sources and subscribers receive.
pub(crate) struct LocalState<'a> {
    pub(crate) nodes: &'a NodeDirectory,
    /// Revision and contents of the configuration in force.
    pub(crate) config: Option<(u64, &'a RoutingConfig)>,
    /// Whether a source has sent a complete snapshot.
    pub(crate) is_synchronized: bool,
    pub(crate) is_ready: bool,
}

/// A received message that the gateway itself has to handle.
pub(crate) enum Update {
    /// A configuration that is in force, with its revision.
    Config { revision: u64, config: RoutingConfig },
    /// Records of nodes.
    Nodes(Vec<NodeRecord>),
    /// All records of a subscription have been received since the directory had this watermark.
    SnapshotComplete { watermark: u64, subscription: Subscription },
    /// A source that is in contact with the controllers has sent a heartbeat.
    SourceHealthy,
    /// An operator requests a report over this connection.
    Inspect { connection: ConnectionId, topic: InspectionTopic },
}
