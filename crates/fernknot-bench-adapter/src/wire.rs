//! The bench's wire, as far as the adapter reads and writes it. The wire's names end here: where the code has another
//! term, a rename attribute keeps the wire's.

use crate::error::AdapterError;
use fernknot_router_config::RawSettings;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// A line of input: events at one time.
#[derive(Deserialize)]
pub struct Batch<'a> {
    /// The time, in milliseconds.
    #[serde(rename = "wall")]
    pub now_ms: f64,
    /// Events by name, their fields not yet parsed.
    #[serde(borrow)]
    pub events: Vec<BTreeMap<&'a str, &'a RawValue>>,
}

/// An event that the adapter takes notice of.
pub enum Event {
    /// `directory`: nodes under a number.
    Directory(Directory),
    /// `powerOn`: an instance begins.
    InstanceStarted(Box<InstanceStarted>),
    /// `down`: an instance is gone.
    InstanceStopped(InstanceOnly),
    /// `view`: an instance gets a list of nodes.
    NodeList(NodeList),
    /// `order`: a query or a part of one arrives.
    QueryOrPart(QueryOrPart),
    /// `finished`: an attempt of a part ended.
    AttemptEnded(AttemptEnded),
    /// `statusBack`: a node reported its load.
    LoadReported(LoadReported),
    /// `lapsed`: a query's client is gone.
    ClientTimedOut(ClientTimedOut),
    /// `datagram`: another router sent a datagram.
    Datagram(Datagram),
    /// `bell` or `streaming`: only the instance matters; it is asked for its decisions.
    Wake(InstanceOnly),
}

/// Nodes under a number by which later events name them.
#[derive(Deserialize)]
pub struct Directory {
    /// The number.
    #[serde(rename = "sheet")]
    pub number: u64,
    /// The nodes.
    #[serde(rename = "nodesList")]
    pub nodes: Vec<Node>,
}

/// A node of a list.
#[derive(Deserialize)]
pub struct Node {
    /// Its name.
    #[serde(rename = "node")]
    pub name: String,
    /// The place whose shards it holds.
    #[serde(rename = "cell")]
    pub place: u32,
    /// The zone that it is in, where that is known.
    #[serde(rename = "campus")]
    pub zone: Option<u32>,
    /// Its health.
    pub health: NodeHealth,
    /// Since when it has been so, in milliseconds.
    #[serde(rename = "since", default)]
    pub since_ms: f64,
}

/// The health of a node by a list.
#[derive(Clone, Copy, Deserialize)]
pub enum NodeHealth {
    /// It takes parts.
    Running,
    /// It takes no new parts.
    #[serde(rename = "Stopping")]
    Draining,
    /// It is gone.
    Deleted,
}

/// An instance begins.
#[derive(Deserialize)]
pub struct InstanceStarted {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
    /// Determines the random choices of the instance.
    #[serde(rename = "prng")]
    pub seed: u64,
    /// The settings, as the bench gives them.
    #[serde(rename = "facts")]
    pub settings: RawSettings,
}

/// An event of which only the instance matters.
#[derive(Deserialize)]
pub struct InstanceOnly {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
}

/// An instance gets a list of nodes.
#[derive(Deserialize)]
pub struct NodeList {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
    /// What the list holds.
    pub mode: ListMode,
    /// The number of a directory.
    #[serde(rename = "sheet")]
    pub directory: Option<u64>,
}

/// What a list of nodes holds.
#[derive(Clone, Copy, Deserialize, PartialEq)]
pub enum ListMode {
    /// What has changed since the last list.
    #[serde(rename = "incr")]
    Changes,
    /// All nodes.
    #[serde(rename = "total")]
    Full,
    /// All nodes, as another instance knows them.
    #[serde(rename = "warm_copy")]
    FullFromPeer,
    /// The source of lists is gone.
    #[serde(rename = "lost")]
    Lost,
}

/// A query, or one part of it.
#[derive(Deserialize)]
pub struct QueryOrPart {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
    /// The wire's name of it.
    #[serde(rename = "req")]
    pub name: String,
    /// The customer's number.
    #[serde(rename = "project", default)]
    pub customer: usize,
    /// The use case's number.
    #[serde(rename = "lane", default)]
    pub use_case: usize,
    /// The shard of a part; negative for the query itself.
    #[serde(rename = "rangeNo")]
    pub shard: f64,
    /// When the client stops waiting, in milliseconds.
    #[serde(rename = "clientDeadline")]
    pub client_deadline_ms: f64,
    /// Whether the client asks again.
    #[serde(rename = "retry", default)]
    pub is_retry: bool,
    /// The number that a query has in common with its parts.
    #[serde(rename = "query")]
    pub query_number: u64,
    /// The expected work, in milliseconds, where that is known.
    #[serde(rename = "effort")]
    pub effort_ms: Option<f64>,
    /// The share of a part in the complete answer.
    #[serde(rename = "heft", default)]
    pub weight: f64,
}

impl QueryOrPart {
    /// Whether this is the query itself, not a part of it.
    pub fn is_query(&self) -> bool {
        self.shard < 0.0
    }
}

/// An attempt of a part ended.
#[derive(Deserialize)]
pub struct AttemptEnded {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
    /// The wire's name of the part.
    #[serde(rename = "req")]
    pub part_name: String,
    /// How it ended, in the manner of HTTP.
    #[serde(rename = "how")]
    pub status: u32,
    /// How long it took, in milliseconds.
    #[serde(rename = "duration", default)]
    pub took_ms: f64,
    /// The number of the attempt, from 0 for each part.
    #[serde(rename = "sendNo", default)]
    pub attempt: u32,
    /// The node's name.
    pub node: String,
    /// The node's load, by the names of its figures.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
}

/// A node reported its load without a part.
#[derive(Deserialize)]
pub struct LoadReported {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
    /// The node's name.
    pub node: String,
    /// The node's load, by the names of its figures.
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
}

/// The client of a query is gone.
#[derive(Deserialize)]
pub struct ClientTimedOut {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
    /// The wire's name of the query.
    #[serde(rename = "req")]
    pub query_name: String,
}

/// Another router sent a datagram.
#[derive(Deserialize)]
pub struct Datagram {
    /// The instance's number.
    #[serde(rename = "router")]
    pub instance: u64,
    /// The number of the router that sent it.
    pub sender: u32,
    /// In hexadecimal digits.
    #[serde(rename = "msg")]
    pub bytes_hex: String,
}

/// A line of output.
#[derive(Serialize)]
pub struct Reply {
    /// What the instances want done, in their order.
    #[serde(rename = "output")]
    pub actions: Vec<Action>,
}

/// What an instance wants done. The wire's names stand in the attributes.
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
    /// Asks for a `bell` after some time.
    #[serde(rename = "timer")]
    SetTimer {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "after")]
        after_ms: f64,
        label: u64,
    },
    /// Ends a query with an error.
    #[serde(rename = "finishError")]
    FailQuery {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        query_name: String,
    },
    /// Ends a query without having run it.
    #[serde(rename = "bounce")]
    RejectQuery {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        query_name: String,
        #[serde(rename = "wait")]
        retry_after_ms: f64,
    },
    /// Gives a query's answer.
    #[serde(rename = "wrapUp")]
    CompleteQuery {
        #[serde(rename = "router")]
        instance: u64,
        #[serde(rename = "req")]
        query_name: String,
        #[serde(rename = "full")]
        is_complete: bool,
    },
    /// Asks for the list of nodes and its changes.
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

/// Parses an event; `None` for one that the adapter takes no notice of.
pub fn parse_event(name: &str, raw: &RawValue) -> Result<Option<Event>, AdapterError> {
    let event = match name {
        "directory" => Event::Directory(fields(name, raw)?),
        "powerOn" => Event::InstanceStarted(fields(name, raw)?),
        "down" => Event::InstanceStopped(fields(name, raw)?),
        "view" => Event::NodeList(fields(name, raw)?),
        "order" => Event::QueryOrPart(fields(name, raw)?),
        "finished" => Event::AttemptEnded(fields(name, raw)?),
        "statusBack" => Event::LoadReported(fields(name, raw)?),
        "lapsed" => Event::ClientTimedOut(fields(name, raw)?),
        "datagram" => Event::Datagram(fields(name, raw)?),
        "bell" | "streaming" => Event::Wake(fields(name, raw)?),
        _ => return Ok(None),
    };
    Ok(Some(event))
}

fn fields<'a, T: Deserialize<'a>>(event: &str, raw: &'a RawValue) -> Result<T, AdapterError> {
    serde_json::from_str(raw.get())
        .map_err(|source| AdapterError::MalformedEvent { event: event.to_string(), source })
}
