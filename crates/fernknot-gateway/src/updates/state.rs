//! Data passed between the relay of updates and the rest of the gateway. A source is a controller or gateway that this
//! gateway receives updates from; a subscriber is a gateway that receives them from this one.

use crate::config_snapshot::ConfigSnapshot;
use fernknot_net::ConnectionId;
use fernknot_registry::{NodeDirectory, NodeRecord};
use fernknot_rpc::{ControllerToGateway, InspectionTopic, Subscription};
use fernknot_schema::SystemConfig;

/// State of this gateway that its sources and subscribers receive.
pub(crate) struct LocalState<'a> {
    pub(crate) nodes: &'a NodeDirectory,
    /// Configuration in force.
    pub(crate) config: Option<&'a ConfigSnapshot>,
    pub(crate) is_ready: bool,
}

/// A received message that the gateway itself has to handle.
pub(crate) enum Update {
    /// A configuration that is in force, with its revision.
    Config { revision: u64, config: SystemConfig },
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

/// Returns the message that carries a configuration to subscribers.
pub(super) fn config_message(snapshot: &ConfigSnapshot) -> ControllerToGateway {
    let (revision, config) = (snapshot.revision, snapshot.config.clone());
    match snapshot.access() {
        None => ControllerToGateway::Config { revision, config },
        Some(access) => {
            let access = access.access_control().clone();
            ControllerToGateway::ConfigWithAccessControl { revision, config, access }
        }
    }
}
