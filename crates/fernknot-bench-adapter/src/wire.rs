//! Messages of the bench's wire format, as far as the adapter reads and writes them. The bench simulates queries and
//! nodes; an instance of the decision module decides for one simulated router. All times are those of the bench's
//! clock. Rename attributes map the wire's names to the terms of the code; no other module uses the wire's names.

use crate::error::AdapterError;
use fernknot_router_config::RawSettings;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Line of input: events at one time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// Time of the events, in milliseconds.
    #[serde(rename = "wall")]
    pub now_ms: f64,
    /// Events, each as a map from its name to its unparsed fields.
    #[serde(borrow)]
    pub events: Vec<BTreeMap<&'a str, &'a RawValue>>,
}

/// Event that the adapter handles.
pub enum Event {
    /// `directory`: a numbered list of nodes, to which an event `view` may refer.
    Directory(Directory),
    /// `powerOn`: an instance starts.
    InstanceStarted(Box<InstanceStarted>),
    /// `down`: an instance stops.
    InstanceStopped(InstanceOnly),
    /// `view`: an instance receives a directory, or learns that lists are unavailable.
    NodeList(NodeList),
    /// `order`: a query or a part of one arrives.
    QueryOrPart(QueryOrPart),
    /// `finished`: an attempt of a part ended.
    AttemptEnded(AttemptEnded),
    /// `statusBack`: a node reported its load.
    LoadReported(LoadReported),
    /// `lapsed`: a query's client has timed out.
    ClientTimedOut(ClientTimedOut),
    /// `datagram`: another router sent a datagram.
    Datagram(Datagram),
    /// `bell` or `streaming`: an instance is polled for its decisions.
    Wake(InstanceOnly),
}

/// List of nodes with a number by which later events refer to it.
#[derive(Deserialize)]
pub struct Directory {
    /// Number of the directory.
    #[serde(rename = "sheet")]
    pub number: u64,
    /// Nodes of the directory.
    #[serde(rename = "nodesList")]
    pub nodes: Vec<Node>,
}

/// Node of a list.
#[derive(Deserialize)]
pub struct Node {
    /// Name of the node.
    #[serde(rename = "node")]
    pub name: String,
    /// Place whose shards the node holds.
    #[serde(rename = "cell")]
    pub place: u32,
    /// Zone of the node, if known.
    #[serde(rename = "campus")]
    pub zone: Option<u32>,
    /// Health of the node.
    pub health: NodeHealth,
    /// Time since which the node has this health, in milliseconds, which the adapter takes for its last start; 0 if
    /// that was long ago.
    #[serde(rename = "since", default)]
    pub since_ms: f64,
}

/// Health of a node according to a list.
#[derive(Clone, Copy, Deserialize)]
pub enum NodeHealth {
    /// The node accepts parts.
    Running,
    /// The node accepts no new parts.
    #[serde(rename = "Stopping")]
    Draining,
    /// The node has been removed.
    Deleted,
}

/// Start of an instance.
#[derive(Deserialize)]
pub struct InstanceStarted {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Seed of the instance's random numbers.
    #[serde(rename = "prng")]
    pub seed: u64,
    /// Settings in the bench's format.
    #[serde(rename = "facts")]
    pub settings: RawSettings,
}

/// Event without fields beyond its instance.
#[derive(Deserialize)]
pub struct InstanceOnly {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
}

/// List of nodes for an instance.
#[derive(Deserialize)]
pub struct NodeList {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Contents of the list, in relation to earlier ones.
    pub mode: ListMode,
    /// Number of the directory that contains the nodes; not used with `lost`.
    #[serde(rename = "sheet")]
    pub directory: Option<u64>,
}

/// Contents of a list of nodes.
#[derive(Clone, Copy, Deserialize, PartialEq)]
pub enum ListMode {
    /// Entries that have changed since the last list.
    #[serde(rename = "incr")]
    Changes,
    /// All nodes.
    #[serde(rename = "total")]
    Full,
    /// All nodes, as another instance knows them; applied like `total`.
    #[serde(rename = "warm_copy")]
    FullFromPeer,
    /// No list: the source of lists is unavailable.
    #[serde(rename = "lost")]
    Lost,
}

/// Arrival of a query or of one part of it.
#[derive(Deserialize)]
pub struct QueryOrPart {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Name of the query or part on the wire.
    #[serde(rename = "req")]
    pub name: String,
    /// Index of the customer among the `accounts` of the settings.
    #[serde(rename = "project", default)]
    pub customer: usize,
    /// Index of the use case among the `classes` of the settings.
    #[serde(rename = "lane", default)]
    pub use_case: usize,
    /// Shard of a part; negative for the query itself.
    #[serde(rename = "rangeNo")]
    pub shard: f64,
    /// Time at which the client stops waiting, in milliseconds.
    #[serde(rename = "clientDeadline")]
    pub client_deadline_ms: f64,
    /// Whether the client repeats an earlier query.
    #[serde(rename = "retry", default)]
    pub is_retry: bool,
    /// Number that a query shares with its parts, and by which they are matched.
    #[serde(rename = "query")]
    pub query_number: u64,
    /// Expected work of the query or part, in milliseconds of a node's time; `None` if unknown.
    #[serde(rename = "effort")]
    pub effort_ms: Option<f64>,
    /// Share of the complete answer that a part contributes, from 0 to 1.
    #[serde(rename = "heft", default)]
    pub weight: f64,
}

impl QueryOrPart {
    /// Whether this is the query itself, not a part of it.
    pub fn is_query(&self) -> bool {
        self.shard < 0.0
    }
}

/// End of an attempt at a part.
#[derive(Deserialize)]
pub struct AttemptEnded {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Name of the part on the wire.
    #[serde(rename = "req")]
    pub part_name: String,
    /// Outcome of the attempt, as a status that resembles those of HTTP.
    #[serde(rename = "how")]
    pub status: u32,
    /// Duration of the attempt, in milliseconds.
    #[serde(rename = "duration", default)]
    pub took_ms: f64,
    /// Number of the attempt among those of its part, from 0.
    #[serde(rename = "sendNo", default)]
    pub attempt: u32,
    /// Name of the node.
    pub node: String,
    /// Load of the node: values by name.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
}

/// Load report of a node that does not belong to an attempt.
#[derive(Deserialize)]
pub struct LoadReported {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Name of the node.
    pub node: String,
    /// Load of the node: values by name.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
}

/// Time-out of a query's client.
#[derive(Deserialize)]
pub struct ClientTimedOut {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Name of the query on the wire.
    #[serde(rename = "req")]
    pub query_name: String,
}

/// Datagram from another router.
#[derive(Deserialize)]
pub struct Datagram {
    /// Number of the instance.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Number of the router that sent the datagram.
    pub sender: u32,
    /// Contents of the datagram, in hexadecimal digits.
    #[serde(rename = "msg")]
    pub bytes_hex: String,
}

/// Line of output.
#[derive(Serialize)]
pub struct Reply {
    /// Actions that the instances request, in the order of the instances' numbers.
    #[serde(rename = "output")]
    pub actions: Vec<Action>,
}

/// Action that an instance requests. The attributes contain the wire's names.
#[derive(Serialize)]
pub enum Action {
    /// Sends a part to a node.
    #[serde(rename = "transmit")]
    SendPart {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        part_name: String,
        node: String,
        #[serde(rename = "stopAt")]
        stop_at_ms: f64,
    },
    /// Cancels an attempt.
    #[serde(rename = "withdraw")]
    CancelAttempt {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        part_name: String,
        #[serde(rename = "sendNo")]
        attempt: u32,
    },
    /// Requests an event `bell` for the instance after a time in milliseconds.
    #[serde(rename = "timer")]
    SetTimer {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "after")]
        after_ms: f64,
        label: u64,
    },
    /// Ends a query with an error. Parts of it that must not run twice may have run.
    #[serde(rename = "finishError")]
    FailQuery {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        query_name: String,
    },
    /// Ends a query with a rejection. No part of it that must not run twice can have run.
    #[serde(rename = "bounce")]
    RejectQuery {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        query_name: String,
        #[serde(rename = "wait")]
        retry_after_ms: f64,
    },
    /// Ends a query, or the first of its two phases, with its answer.
    #[serde(rename = "wrapUp")]
    CompleteQuery {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        query_name: String,
        #[serde(rename = "full")]
        is_complete: bool,
    },
    /// Requests the list of nodes and subscribes to its changes.
    #[serde(rename = "streamChanges")]
    SubscribeToNodeList {
        #[serde(rename = "router")]
        instance: u64,
        full: bool,
    },
    /// Sends a datagram to all other routers.
    #[serde(rename = "publish")]
    PublishDatagram {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "msg")]
        bytes_hex: String,
    },
}

/// Parses a line of input.
pub fn parse_batch(line: &str) -> Result<Batch<'_>, AdapterError> {
    serde_json::from_str(line).map_err(|error| match serde_json::from_str::<IgnoredAny>(line) {
        Ok(_) => AdapterError::NotABatch(error),
        Err(error) => AdapterError::NotJson(error),
    })
}

/// Parses an event; `None` for one that the adapter ignores.
pub fn parse_event(name: &str, raw: &RawValue) -> Result<Option<Event>, AdapterError> {
    let event = match name {
        "directory" => Event::Directory(parse_fields(name, raw)?),
        "powerOn" => Event::InstanceStarted(parse_fields(name, raw)?),
        "down" => Event::InstanceStopped(parse_fields(name, raw)?),
        "view" => Event::NodeList(parse_fields(name, raw)?),
        "order" => Event::QueryOrPart(parse_fields(name, raw)?),
        "finished" => Event::AttemptEnded(parse_fields(name, raw)?),
        "statusBack" => Event::LoadReported(parse_fields(name, raw)?),
        "lapsed" => Event::ClientTimedOut(parse_fields(name, raw)?),
        "datagram" => Event::Datagram(parse_fields(name, raw)?),
        "bell" | "streaming" => Event::Wake(parse_fields(name, raw)?),
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn parse_fields<'a, T: Deserialize<'a>>(event: &str, raw: &'a RawValue) -> Result<T, AdapterError> {
    serde_json::from_str(raw.get())
        .map_err(|source| AdapterError::MalformedEvent { event: event.to_string(), source })
}
