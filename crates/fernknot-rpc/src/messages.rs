//! What the system's own processes send to each other. Who opens a connection sends [`GatewayToController`] messages
//! and receives [`ControllerToGateway`] ones.

use bitcode::{Decode, Encode};
use fernknot_ownership::{Assignment, GatewayRecord};
use fernknot_registry::NodeRecord;
use fernknot_schema::RoutingConfig;
use std::net::SocketAddrV4;

/// Records or identifiers in one message of a list.
pub const MAX_ITEMS_PER_MESSAGE: usize = 4096;
/// Controllers named in one heartbeat or one list of known controllers.
pub const MAX_ADVERTISED_CONTROLLERS: usize = 16;

/// Which nodes a subscriber wants to be sent. Configurations, assignments and heartbeats come with either.
///
/// The subscriber works out for which services it is a relay; the publisher only filters by what is named here. Sent
/// again over the same connection, it replaces what was sent before, and the publisher then sends a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Subscription {
    /// The nodes of all services.
    All,
    /// The nodes of these services, by name.
    Services(Vec<String>),
}

/// Sent by the process that opened a connection to an internal port.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayToController {
    /// A gateway subscribes to updates.
    Subscribe {
        /// The gateway.
        gateway: GatewayRecord,
        /// Whether it is ready to serve queries.
        ready: bool,
        /// Which nodes it wants to be sent.
        subscription: Subscription,
        /// The revision of the configuration that it has; 0 for none.
        revision: u64,
    },
    /// The subscriber lives; sent at intervals.
    Heartbeat {
        /// Whether it is ready to serve queries.
        ready: bool,
    },
    /// Sent with a heartbeat by a relay: the live gateways that are subscribed to it, and to no controller. For a
    /// controller, each counts as if it had sent a heartbeat itself.
    RelayedHeartbeats(Vec<GatewayRecord>),
    /// The subscriber is shutting down as planned.
    ShuttingDown,
    /// A message between controllers.
    Peer(ControllerMessage),
    /// An operator asks for a report.
    Inspect(InspectionTopic),
    /// An operator orders a view without controllers whose disks are gone for good.
    ForceView {
        /// Their addresses, as the report on views shows them.
        lost: Vec<SocketAddrV4>,
    },
}

/// From one controller to another, over a connection that the sender opened.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControllerMessage {
    /// Who sends on this connection; the first message.
    Identify {
        /// The internal address at which the sender listens.
        addr: SocketAddrV4,
        /// Its failure domain.
        zone: String,
    },
    /// A message between consensus members.
    Consensus(fernknot_consensus::Message),
    /// Nodes that changed first at the sender, or that the receiver has asked for.
    NodeUpdates(Vec<NodeRecord>),
    /// Hashes of the incarnations of nodes whose heartbeats came to the sender lately.
    RecentIncarnations(Vec<u64>),
    /// The sender does not know these incarnations; the receiver is to send their records.
    RequestNodes(Vec<u64>),
    /// Gateways whose heartbeats came to the sender lately.
    LiveGateways(Vec<GatewayRecord>),
    /// A gateway has shut down as planned.
    GatewayShutDown {
        /// The incarnation of the gateway.
        incarnation: u64,
    },
    /// The assignment of singleton roles that the leader made.
    Assignment(Assignment),
    /// An operator's change of the configuration, forwarded to the leader.
    ForwardChange {
        /// The incarnation of the controller that was called.
        incarnation: u64,
        /// Its number for the change; the outcome names both.
        call: u64,
        /// The epoch on which the change builds.
        base_epoch: u64,
        /// The configuration as the operator sent it.
        body: Vec<u8>,
    },
    /// The outcome of a forwarded change.
    ChangeOutcome {
        /// The incarnation of the controller that was called.
        incarnation: u64,
        /// Its number for the change.
        call: u64,
        /// The HTTP status for the operator.
        status: u16,
        /// The reason for the operator, for any status but 200.
        reason: String,
    },
    /// Internal addresses of other controllers that the sender knows.
    KnownControllers(Vec<SocketAddrV4>),
}

/// Where a controller is reached, as heartbeats name it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ControllerEndpoint {
    /// Its internal address.
    pub addr: SocketAddrV4,
    /// Its failure domain.
    pub zone: String,
}

/// From a controller or a relay to a subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControllerToGateway {
    /// A configuration that is in force.
    Config {
        /// Its position among all that were ever in force.
        revision: u64,
        /// The configuration.
        config: RoutingConfig,
    },
    /// Nodes that have changed, or all of them in a snapshot.
    NodeUpdates(Vec<NodeRecord>),
    /// All that the sender knows has been sent.
    SnapshotComplete,
    /// Sent at intervals: how far the sender is.
    Heartbeat {
        /// The incarnation of the sender.
        sender: u64,
        /// The revision of the configuration that it has.
        revision: u64,
        /// Whether it hears a majority of its view.
        holds_lease: bool,
        /// The number of gateways that passed the heartbeat on; 0 from a controller.
        hops: u8,
        /// The fencing token of the newest assignment that it knows.
        fencing_token: u64,
        /// Controllers to which the subscriber may connect.
        controllers: Vec<ControllerEndpoint>,
    },
    /// The assignment of singleton roles in force.
    Assignment(Assignment),
    /// The report that an operator asked for, as text for a person.
    InspectionReport(String),
    /// The outcome of an order to force a view: its number, or the reason for the rejection.
    ForceViewResult(Result<u64, String>),
}

/// What an operator may ask of a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum InspectionTopic {
    /// The nodes that it knows.
    Nodes,
    /// The view of the controllers.
    Views,
    /// The relays.
    Relays,
    /// The assignment of singleton roles.
    Ownership,
    /// Counters and gauges, as JSON.
    Counters,
}
