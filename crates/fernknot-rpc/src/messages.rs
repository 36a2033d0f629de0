//! Messages between the system's own processes. The process that opens a connection (a gateway, a controller or an
//! operator's tool) sends [`GatewayToController`] messages and receives [`ControllerToGateway`] messages.

use bitcode::{Decode, Encode};
use fernknot_ownership::{Assignment, GatewayRecord};
use fernknot_registry::NodeRecord;
use fernknot_schema::{AccessControl, RoutingConfig};
use fernknot_usage::UsageReport;
use std::net::SocketAddrV4;

/// Maximum number of records or identifiers in one message that carries a list.
pub const MAX_ITEMS_PER_MESSAGE: usize = 4096;
/// Maximum number of controllers in one heartbeat or one list of known controllers; a receiver ignores the rest of a
/// longer list of known controllers.
pub const MAX_ADVERTISED_CONTROLLERS: usize = 16;

/// Nodes whose records a subscriber requests. Configurations, assignments and heartbeats are sent in either case.
///
/// The publisher (a controller or a relay) filters by the services named here, and doesn't know for which of them the
/// subscriber is a relay itself. A later subscription on the same connection replaces the earlier one, and the
/// publisher then sends a snapshot.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Subscription {
    /// Nodes of all services.
    All,
    /// Nodes of these services, by name.
    Services(Vec<String>),
}

/// Message from the process that opened the connection, to the internal address of a controller or a gateway.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayToController {
    /// Subscribes a gateway to updates.
    Subscribe {
        /// Incarnation, address and zone of the subscribing gateway.
        gateway: GatewayRecord,
        /// Whether the gateway is ready to serve queries.
        ready: bool,
        /// Nodes whose records the gateway requests.
        subscription: Subscription,
        /// Revision of the control state whose configuration the gateway has; 0 for none.
        revision: u64,
    },
    /// Periodic sign of liveness from a subscriber.
    Heartbeat {
        /// Whether the gateway is ready to serve queries.
        ready: bool,
    },
    /// Live gateways that are subscribed to a relay and to no controller; the relay sends them with its heartbeat. The
    /// controller treats each as if it had sent a heartbeat itself.
    RelayedHeartbeats(Vec<GatewayRecord>),
    /// Notice of the subscriber's graceful shutdown.
    ShuttingDown,
    /// Message of a controller, the one that opened the connection.
    Peer(ControllerMessage),
    /// Operator's request for a report.
    Inspect(InspectionTopic),
    /// Operator's order to form a view, a membership of the controllers, without those whose disks are permanently
    /// lost.
    ForceView {
        /// Addresses of the lost controllers, as the report on views shows them.
        lost: Vec<SocketAddrV4>,
    },
    /// Usage that the sender has counted, and that its own subscribers have reported to it.
    UsageReports(Vec<UsageReport>),
}

/// Message from one controller to another, over a connection that the sender opened.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControllerMessage {
    /// Identity of the sender; the first message on a connection. Messages before it are ignored.
    Identify {
        /// Internal address at which the sender listens.
        addr: SocketAddrV4,
        /// Name of the failure domain of the sender's machine.
        zone: String,
    },
    /// Message from the sender's consensus member to the receiver's.
    Consensus(fernknot_consensus::Message),
    /// Nodes whose changes the sender received first, or that the receiver requested.
    NodeUpdates(Vec<NodeRecord>),
    /// Hashes of the ids of the incarnations of nodes whose heartbeats the sender received since its last message of
    /// this kind.
    RecentIncarnations(Vec<u64>),
    /// Request for the records of incarnations of nodes that the sender does not know, by the hashes of their ids.
    RequestNodes(Vec<u64>),
    /// Gateways whose heartbeats the sender received, itself or by a relay, since its last message of this kind.
    LiveGateways(Vec<GatewayRecord>),
    /// Notice of a gateway's graceful shutdown.
    GatewayShutDown {
        /// Incarnation of the gateway.
        incarnation: u64,
    },
    /// Assignment, made by the leader: the live gateways from which the owner of each singleton role (a task of one
    /// gateway at a time) is computed.
    Assignment(Assignment),
    /// Operator's change of the configuration, forwarded to the leader.
    ForwardChange {
        /// Incarnation of the controller that received the operator's call.
        incarnation: u64,
        /// Number that the controller that received the operator's call assigned to the change; the outcome repeats
        /// it and `incarnation`.
        call: u64,
        /// Epoch of the configuration that the change is based on.
        base_epoch: u64,
        /// Configuration as the operator sent it.
        body: Vec<u8>,
    },
    /// Outcome of a forwarded change, sent by the controller that it was forwarded to.
    ChangeOutcome {
        /// Incarnation of the controller that received the operator's call.
        incarnation: u64,
        /// Number that the controller that received the operator's call assigned to the change.
        call: u64,
        /// HTTP status for the operator.
        status: u16,
        /// Reason for the operator, for every status other than 200.
        reason: String,
    },
    /// Internal addresses of other controllers that the sender knows.
    KnownControllers(Vec<SocketAddrV4>),
    /// Usage that gateways have reported to the sender since its last message of this kind.
    UsageReports(Vec<UsageReport>),
    /// Time of day by the sender's own clock when it sent the message, in milliseconds since the beginning of 1970.
    TimeOfDay {
        /// Time of day in milliseconds.
        unix_ms: u64,
    },
}

/// Address and failure domain of a controller, as sent in heartbeats.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ControllerEndpoint {
    /// Internal address of the controller.
    pub addr: SocketAddrV4,
    /// Name of the failure domain of the controller's machine.
    pub zone: String,
}

/// Message from a controller or a relay to a subscriber.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControllerToGateway {
    /// Routing configuration that is active at the sender.
    Config {
        /// Revision of the control state with this configuration; a later configuration has a higher one.
        revision: u64,
        /// Parsed configuration, complete in every message.
        config: RoutingConfig,
    },
    /// Records of changed nodes, or of all nodes in a snapshot.
    NodeUpdates(Vec<NodeRecord>),
    /// End of a snapshot: all that the subscription asked for has been sent once.
    SnapshotComplete,
    /// Periodic message with the newest versions that the sender has.
    Heartbeat {
        /// Incarnation of the controller that the heartbeat comes from, which a relay copies.
        sender: u64,
        /// Revision of the configuration that is active at the sender; 0 for none.
        revision: u64,
        /// Whether the controller that the heartbeat comes from is in contact with a majority of its view and not
        /// about to stop. A relay that can't vouch for it makes it false.
        holds_lease: bool,
        /// Number of gateways that forwarded the heartbeat; 0 from a controller.
        hops: u8,
        /// Fencing token of the newest assignment known to the sender.
        fencing_token: u64,
        /// Controllers to which the subscriber may connect.
        controllers: Vec<ControllerEndpoint>,
    },
    /// Newest assignment of singleton roles that the sender knows.
    Assignment(Assignment),
    /// Report requested by an operator, as human-readable text.
    InspectionReport(String),
    /// Outcome of [`GatewayToController::ForceView`]: the number of the view, or the reason for the rejection.
    ForceViewResult(Result<u64, String>),
    /// Configuration that is active at the sender, like [`ControllerToGateway::Config`], of which the routes need keys.
    ConfigWithAccessControl {
        /// Revision of the control state with this configuration; a later configuration has a higher one.
        revision: u64,
        /// Routes and services, complete in every message.
        config: RoutingConfig,
        /// Tenants and their keys.
        access: AccessControl,
    },
    /// Time of day on which the controllers agree, when the message was sent. Sent before a heartbeat.
    TimeOfDay {
        /// Time of day in milliseconds since the beginning of 1970.
        unix_ms: u64,
    },
}

/// Report that an operator can request from a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum InspectionTopic {
    /// Nodes known to the process, with the state of each.
    Nodes,
    /// View as a controller knows it: its members, the other controllers that vote or ask to join, and the number of
    /// further losses that it tolerates.
    Views,
    /// Sources and subscribers of a gateway's updates; a controller reports the assignment, which determines the
    /// relays.
    Relays,
    /// Assignment of singleton roles.
    Ownership,
    /// Counters and gauges, as JSON.
    Counters,
}
