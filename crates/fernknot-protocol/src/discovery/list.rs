//! Lists of data nodes.

use fernknot::interface::{Health, Nanos, PlaceId};
use serde::Deserialize;
use serde_json::value::RawValue;
use std::net::SocketAddr;

/// A list as it is written. The name stands in messages of the parser, which go to the log.
#[derive(Deserialize)]
struct Listed<'a> {
    generation: u64,
    reset: bool,
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

/// An entry as it is written. The name stands in messages of the parser, which go to the log.
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

/// A data node as listed. One that is gone may come without address and place.
#[derive(Clone, Debug, PartialEq)]
pub struct ListedNode {
    /// The id that discovery knows it by.
    pub name: String,
    /// Where it accepts connections.
    pub address: Option<SocketAddr>,
    /// Its failure domain.
    pub place: Option<PlaceId>,
    /// Its zone as the list names it.
    pub zone: Option<String>,
    /// Whether it takes calls.
    pub health: Health,
    /// When it last started, as Unix time; zero for long ago.
    pub started_at: Nanos,
}

/// A list of data nodes, or the changes to one.
#[derive(Debug)]
pub struct NodeList {
    /// The version of the list.
    pub generation: u64,
    /// All nodes are listed, so that any other is gone; else those that have changed.
    pub is_full: bool,
    /// The entries that could be used, in their order.
    pub nodes: Vec<ListedNode>,
    /// What is wrong with the entries that were left out.
    pub rejected_entries: Vec<EntryError>,
}

/// A list that cannot be read.
#[derive(Debug, thiserror::Error)]
#[error("not a list: {0}")]
pub struct ListError(#[from] serde_json::Error);

/// An entry of a list that cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EntryError {
    /// It is not of the form that is expected.
    #[error("{0}")]
    Malformed(#[from] serde_json::Error),
    /// The node of this id is not gone, but has no address or failure domain.
    #[error("{0}: no usable hostPort or cell")]
    MissingAddress(String),
    /// The id is empty, or the time of its start is not finite.
    #[error("{0}: no usable instanceId or startedAtMs")]
    InvalidIdentity(String),
}

/// Reads a list in discovery's form. An entry that cannot be used does not cost the others.
///
/// # Errors
/// The JSON is no list.
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
