//! Data passed between the relay of updates and the rest of the gateway. A source is a controller or gateway that this
//! gateway receives updates from; a subscriber is a gateway that receives them from this one.

use fernknot_net::ConnectionId;
use fernknot_registry::{NodeDirectory, NodeRecord};
use fernknot_rpc::{InspectionTopic, Subscription};
use fernknot_schema::RoutingConfig;

/// State of this gateway that its sources and subscribers receive.
pub(crate) struct LocalState<'a> {
    pub(crate) nodes: &'a NodeDirectory,
    /// Revision and contents of the configuration in force.
    pub(crate) config: Option<(u64, &'a RoutingConfig)>,
    pub(crate) is_ready: bool,
}

/// A received message that the gateway itself has to handle.
pub(crate) enum Update {
    /// A configuration that is in force, with its revision.
    Config { revision: u64, config: RoutingConfig },
    /// Records of nodes.
    Nodes(Vec<NodeRecord>),
    /// A source has sent all node records of a subscription. `watermark` is that of the node directory when this
    /// gateway subscribed.
    SnapshotComplete { watermark: u64, subscription: Subscription },
    /// A source has sent a heartbeat with a lease: a controller in contact with a majority has sent or confirmed it.
    SourceHealthy,
    /// An operator requests a report over this connection.
    Inspect { connection: ConnectionId, topic: InspectionTopic },
}
