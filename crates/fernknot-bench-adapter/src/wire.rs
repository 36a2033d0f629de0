//! The bench's wire, as far as the drill reads and writes it.

use fernknot_router_config::Facts;
use serde::de::IgnoredAny;
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// One event: its name and, still unread, its fields.
pub type Event<'a> = BTreeMap<&'a str, &'a RawValue>;

#[derive(Deserialize)]
pub struct Batch<'a> {
    pub wall: f64,
    #[serde(borrow)]
    pub events: Vec<Event<'a>>,
}

#[derive(Deserialize)]
pub struct PowerOn {
    pub router: u64,
    pub prng: u64,
    pub facts: Facts,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Directory {
    pub sheet: u64,
    pub nodes_list: Vec<Entry>,
}

#[derive(Deserialize)]
pub struct Entry {
    pub node: String,
    pub cell: u32,
    pub campus: Option<u32>,
    pub health: EntryHealth,
    #[serde(default)]
    pub since: f64,
}

#[derive(Clone, Copy, Deserialize)]
pub enum EntryHealth {
    Running,
    Stopping,
    Deleted,
}

#[derive(Deserialize)]
pub struct View {
    pub router: u64,
    pub mode: Mode,
    pub sheet: Option<u64>,
}

#[derive(Clone, Copy, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
pub enum Mode {
    Incr,
    Total,
    WarmCopy,
    Lost,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Order {
    pub router: u64,
    pub req: String,
    #[serde(default)]
    pub project: usize,
    #[serde(default)]
    pub lane: usize,
    pub range_no: f64,
    pub client_deadline: f64,
    #[serde(default)]
    pub retry: bool,
    pub query: u64,
    pub effort: Option<f64>,
    #[serde(default)]
    pub heft: f64,
}

#[derive(Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Finished {
    pub router: u64,
    pub req: String,
    pub how: u32,
    #[serde(default)]
    pub duration: f64,
    #[serde(default)]
    pub send_no: u32,
    pub node: String,
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
}

#[derive(Deserialize)]
pub struct StatusBack {
    pub router: u64,
    pub node: String,
    #[serde(default)]
    pub load: BTreeMap<String, f64>,
}

#[derive(Deserialize)]
pub struct Lapsed {
    pub router: u64,
    pub req: String,
}

#[derive(Deserialize)]
pub struct Datagram {
    pub router: u64,
    pub sender: u32,
    pub msg: String,
}

/// Events of which only the instance matters.
#[derive(Deserialize)]
pub struct Plain {
    pub router: u64,
}

#[derive(Serialize)]
pub struct Reply {
    pub output: Vec<Action>,
}

#[derive(Serialize)]
#[serde(rename_all = "camelCase", rename_all_fields = "camelCase")]
pub enum Action {
    Transmit { router: u64, req: String, node: String, stop_at: f64 },
    Withdraw { router: u64, req: String, send_no: u32 },
    Timer { router: u64, after: f64, label: u64 },
    FinishError { router: u64, req: String },
    Bounce { router: u64, req: String, wait: f64 },
    WrapUp { router: u64, req: String, full: bool },
    StreamChanges { router: u64, full: bool },
    Publish { router: u64, msg: String },
}

/// The fields of an event, or what is wrong with them.
pub fn fields<'a, T: Deserialize<'a>>(name: &str, raw: &'a RawValue) -> Result<T, String> {
    serde_json::from_str(raw.get()).map_err(|error| format!("event {name}: {error}"))
}

pub fn batch(line: &str) -> Result<Batch<'_>, String> {
    serde_json::from_str(line).map_err(|error| match serde_json::from_str::<IgnoredAny>(line) {
        Ok(_) => format!("not a batch: {error}"),
        Err(error) => format!("not JSON: {error}"),
    })
}
