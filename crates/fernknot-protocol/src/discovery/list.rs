//! Parsing of the node lists from discovery, the service that lists the data nodes.

use fernknot::interface::{Health, Nanos, PlaceId};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// JSON form of a list. The struct's name appears in the parser's error messages, which are logged.
#[derive(Deserialize)]
struct Listed<'a> {
    generation: u64,
    reset: bool,
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

/// JSON form of an entry. The struct's name appears in the parser's error messages, which are logged.
#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
struct Instance {
    instance_id: String,
    host_port: Option<String>,
    cell: Option<u32>,
    zone: Option<String>,
    lifecycle: Lifecycle,
    #[serde(default)]
    started_at_ms: f64,
}

#[derive(Clone, Copy, Deserialize)]
#[serde(rename_all = "lowercase")]
enum Lifecycle {
    Up,
    Draining,
    Removed,
}

/// Data node in a list. A node that is gone may lack an address and a place.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    /// Id of the node at discovery.
    pub name: String,
    /// Address at which the node accepts connections.
    pub address: Option<SocketAddr>,
    /// Place of the node in the placement of shards (`cell`): nodes at one place hold the same shards.
    pub place: Option<PlaceId>,
    /// Name of the node's zone (failure domain); `None` if the list gives none.
    pub zone: Option<String>,
    /// State of the node: only running ones get new calls.
    pub health: Health,
    /// Unix time of the node's last start; zero if the list gives none.
    pub started_at: Nanos,
}

/// List of data nodes, or changes to an earlier list.
#[derive(Debug)]
pub struct NodeList {
    /// Version of the list, which grows with each change until discovery restarts.
    pub generation: u64,
    /// Whether all nodes are listed, so that any other node is gone; otherwise only changed nodes are listed.
    pub is_full: bool,
    /// Valid entries, in the order of the list.
    pub nodes: Vec<ListedNode>,
    /// Errors of the invalid entries, which were skipped.
    pub rejected_entries: Vec<EntryError>,
}

/// Error of a list that is malformed as a whole.
#[derive(Debug, thiserror::Error)]
#[error("invalid node list: {0}")]
pub struct ListError(#[from] serde_json::Error);

/// Error of a list entry that is invalid and therefore skipped.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// The entry is not JSON of the expected form.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The node with this id is not gone, but lacks a valid address or a place.
    #[error("node {0}: hostPort or cell is missing or invalid")]
    MissingAddress(String),
    /// The id is empty, or the start time is not finite.
    #[error("node {0}: instanceId or startedAtMs is missing or invalid")]
    InvalidIdentity(String),
}

/// Parses a list in discovery's JSON form. An invalid entry is skipped and reported; the others are returned.
///
/// # Errors
/// The JSON is not a node list.
pub fn parse_list(json: &[u8]) -> Result<NodeList, ListError> {
    let listed: Listed = serde_json::from_slice(json)?;
    let (mut nodes, mut rejected_entries) = (Vec::new(), Vec::new());
    for entry in listed.instances {
        match parse_entry(entry.get()) {
            Ok(node) => nodes.push(node),
            Err(error) => rejected_entries.push(error),
        }
    }
    Ok(NodeList { generation: listed.generation, is_full: listed.reset, nodes, rejected_entries })
}

fn parse_entry(json: &str) -> Result<ListedNode, EntryError> {
    let entry: Instance = serde_json::from_str(json)?;
    let health = match entry.lifecycle {
        Lifecycle::Up => Health::Running,
        Lifecycle::Draining => Health::Draining,
        Lifecycle::Removed => Health::Gone,
    };
    let address = entry.host_port.as_deref().and_then(|text| text.parse().ok());
    if health != Health::Gone && (address.is_none() || entry.cell.is_none()) {
        return Err(EntryError::MissingAddress(entry.instance_id));
    }
    if entry.instance_id.is_empty() || !entry.started_at_ms.is_finite() {
        return Err(EntryError::InvalidIdentity(entry.instance_id));
    }
    Ok(ListedNode {
        name: entry.instance_id,
        address,
        place: entry.cell.map(PlaceId),
        zone: entry.zone,
        health,
        started_at: Nanos::from_millis(entry.started_at_ms),
    })
}
