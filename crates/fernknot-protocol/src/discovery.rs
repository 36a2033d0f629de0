//! Discovery's lists, and the watch that follows them.

use crate::buffer::Buffer;
use crate::http::ResponseReader;
use fernknot::interface::{Health, Nanos, PlaceId};
use fernknot_router_config::Limits;
use serde::Deserialize;
use serde_json::value::RawValue;
use std::io::Write;
use std::net::SocketAddr;

#[derive(Deserialize)]
struct Listed<'a> {
    generation: u64,
    reset: bool,
    #[serde(borrow)]
    instances: Vec<&'a RawValue>,
}

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
    pub name: String,
    pub address: Option<SocketAddr>,
    pub place: Option<PlaceId>,
    /// Its zone as the list names it.
    pub zone: Option<String>,
    pub health: Health,
    /// Unix time of its last start; zero for long ago.
    pub started_at: Nanos,
}

#[derive(Debug, PartialEq)]
pub struct NodeList {
    pub generation: u64,
    pub is_full: bool,
    pub nodes: Vec<ListedNode>,
    /// What is wrong with the entries that were left out.
    pub rejected_entries: Vec<String>,
}

/// A list in discovery's form. An entry that cannot be read does not cost the others.
pub fn parse_list(json: &[u8]) -> Result<NodeList, String> {
    let listed: Listed = serde_json::from_slice(json).map_err(|error| format!("not a list: {error}"))?;
    let mut list = NodeList {
        generation: listed.generation,
        is_full: listed.reset,
        nodes: Vec::new(),
        rejected_entries: Vec::new(),
    };
    for entry in listed.instances {
        match node(entry.get()) {
            Ok(node) => list.nodes.push(node),
            Err(why) => list.rejected_entries.push(why),
        }
    }
    Ok(list)
}

fn node(json: &str) -> Result<ListedNode, String> {
    let entry: Instance = serde_json::from_str(json).map_err(|error| error.to_string())?;
    let named = |what: &str| format!("{}: {what}", entry.instance_id);
    let health = match entry.lifecycle {
        Lifecycle::Up => Health::Running,
        Lifecycle::Draining => Health::Draining,
        Lifecycle::Removed => Health::Gone,
    };
    let address = entry.host_port.as_deref().and_then(|text| text.parse().ok());
    if health != Health::Gone && (address.is_none() || entry.cell.is_none()) {
        return Err(named("no usable hostPort or cell"));
    }
    if entry.instance_id.is_empty() || !entry.started_at_ms.is_finite() {
        return Err(named("no usable instanceId or startedAtMs"));
    }
    Ok(ListedNode {
        address,
        place: entry.cell.map(PlaceId),
        zone: entry.zone,
        health,
        started_at: Nanos::from_millis(entry.started_at_ms),
        name: entry.instance_id,
    })
}

/// One call after the other: the whole list first, then what has changed since.
#[derive(Debug, Default)]
pub struct Watch {
    generation: Option<u64>,
    reader: ResponseReader,
}

impl Watch {
    /// Writes the next call; true if its answer may take as long as `wait`.
    pub fn write_request(&mut self, out: &mut Buffer, host: SocketAddr, wait: Nanos) -> bool {
        self.reader = ResponseReader::default();
        let query = self
            .generation
            .map(|generation| format!("?index={generation}&wait={}", wait.as_millis().round() as u64));
        let waits = query.is_some();
        let query = query.unwrap_or_default();
        // Writing to a buffer does not fail.
        let _ = write!(out, "GET /discovery/hosts{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        waits
    }

    /// The list that has come, if all of it has, and whether the connection goes on.
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        ended: bool,
        limits: &Limits,
    ) -> Result<Option<(NodeList, bool)>, String> {
        let response = self.reader.read(buffer, ended, limits).map_err(|bad| bad.why.to_string())?;
        let Some(response) = response else { return Ok(None) };
        let refused = || format!("answered {}", response.status);
        let list = if response.status == 200 { parse_list(&response.body) } else { Err(refused()) };
        match list {
            Ok(list) => {
                // Changes of an older version than the one in hand continue nothing: discovery has
                // begun anew, so all of its list is asked for.
                let goes_back = !list.is_full && self.generation.is_some_and(|held| list.generation < held);
                self.generation = Some(list.generation).filter(|_| !goes_back);
                Ok(Some((list, response.keep)))
            }
            Err(why) => {
                self.generation = None;
                Err(why)
            }
        }
    }
}
