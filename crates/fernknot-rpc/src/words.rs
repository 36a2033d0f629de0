//! What the system's own processes say to each other. Who opens a connection says [`Inward`] words, and
//! hears [`Outward`] ones.

use bitcode::{Decode, Encode};
use fernknot_ownership::{Assignment, GatewayRecord};
use fernknot_registry::NodeRecord;
use fernknot_schema::RoutingConfig;
use std::net::SocketAddrV4;

/// Which news a listener wants of a teller. Configurations, cuts and pulses come with either. (The listener
/// works out of which services it is home; the teller only filters by what is named here. Said again over the
/// same connection, it replaces what was said before; the teller then tells those services whole.)
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub enum Subscription {
    /// The nodes of all services.
    All,
    /// The nodes of these services, by name.
    Services(Vec<String>),
}

/// Said by who opens a connection to an inner port.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum GatewayToController {
    /// A gateway wants news from here on. `order` is that of the plan that it holds, 0 for none.
    Subscribe { gateway: GatewayRecord, ready: bool, subscription: Subscription, revision: u64 },
    /// Said now and then over a stream of news: the listener lives.
    Heartbeat { ready: bool },
    /// Said with `Alive` by a home: the gateways that live and listen to it, and to no controller. For a controller
    /// each counts as if it had said `Alive` itself.
    RelayedHeartbeats(Vec<GatewayRecord>),
    /// The listener is about to stop by order.
    ShuttingDown,
    /// Between controllers.
    Peer(ControllerMessage),
    /// An operator's question: what is held here?
    Inspect(InspectionTopic),
    /// An operator's order: the disks of these controllers, named as `Views` shows them, are gone for good; make a
    /// view without them.
    ForceView { lost: Vec<SocketAddrV4> },
}

/// From one controller to another, over a connection that the first one opened.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControllerMessage {
    /// Who speaks: the inner address at which it listens, and its zone.
    Identify {
        addr: SocketAddrV4,
        zone: String,
    },
    Consensus(fernknot_consensus::Message),
    /// Changes of nodes that were first told to the speaker.
    NodeUpdates(Vec<NodeRecord>),
    /// Lives whose beats came to the speaker lately, by their hashes.
    RecentIncarnations(Vec<u64>),
    /// The hearer does not know these lives; the speaker of `Heard` is to tell them.
    RequestNodes(Vec<u64>),
    /// Gateways that are attached to the speaker.
    LiveGateways(Vec<GatewayRecord>),
    /// One of them has stopped by order.
    GatewayShutDown {
        incarnation: u64,
    },
    /// The cut of duties that the sequencer made.
    Assignment(Assignment),
    /// An operator's call, handed to the sequencer: the configuration and the epoch on which it builds.
    ForwardChange {
        /// The life of the controller that was called, and its number for the call; the end names both.
        incarnation: u64,
        call: u64,
        base_epoch: u64,
        body: Vec<u8>,
    },
    /// Its end: the status and words for the operator.
    ChangeOutcome {
        incarnation: u64,
        call: u64,
        status: u16,
        reason: String,
    },
    /// Other controllers that the speaker knows, at their inner addresses.
    KnownControllers(Vec<SocketAddrV4>),
}

/// A controller as gateways are told of it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct ControllerEndpoint {
    pub addr: SocketAddrV4,
    pub zone: String,
}

/// News, from a teller to a listener.
#[derive(Clone, Debug, PartialEq, Encode, Decode)]
pub enum ControllerToGateway {
    /// A configuration that is in force, and its place in the one order.
    Config {
        revision: u64,
        config: RoutingConfig,
    },
    NodeUpdates(Vec<NodeRecord>),
    /// All that the teller holds has been told.
    SnapshotComplete,
    /// Said every so often: who tells, how far it is, and whether it hears a majority of its view. `hops` counts
    /// the gateways that passed it on; a controller says 0. `fence` is that of the newest cut.
    Heartbeat {
        sender: u64,
        revision: u64,
        holds_lease: bool,
        hops: u8,
        fencing_token: u64,
        controllers: Vec<ControllerEndpoint>,
    },
    Assignment(Assignment),
    /// The answer to an operator's question, for a person to read.
    InspectionReport(String),
    /// The end of an order to force a view: its number, or why it is refused.
    ForceViewResult(Result<u64, String>),
}

/// What an operator may ask of a running process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub enum InspectionTopic {
    Nodes,
    Views,
    Relays,
    Ownership,
    Counters,
}
