//! Parser for status changes in a router's log.

use crate::history::StatusChange;
use std::net::SocketAddr;
use std::time::Duration;

const STATUS_CHANGE_MARKER: &str = " fleet: status of a router changed ";

/// Parses a log line of `observer`; returns `None` if it reports no status change. `at` is the time at which the line
/// was read, and `public` has the address of each router in the list of peers, by which log lines name routers.
pub(crate) fn parse_status_change(
    line: &str,
    observer: usize,
    at: Duration,
    public: &[SocketAddr],
) -> Option<StatusChange> {
    let (_, pairs) = line.split_once(STATUS_CHANGE_MARKER)?;
    let value = |key: &str| pairs.split(' ').find_map(|pair| pair.strip_prefix(key)?.strip_prefix('='));
    let address = value("router")?;
    let member = public.iter().position(|public| public.to_string() == address)?;
    let (from, to) = (value("from")?.to_string(), value("to")?.to_string());
    Some(StatusChange { at, observer, member, from, to, log_line: line.to_string() })
}
