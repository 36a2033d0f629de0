//! Watch of discovery's node list by successive calls on one connection, which discovery may answer only once the list
//! changes (long polling).

use super::list::{ListError, NodeList, parse_list};
use crate::buffer::Buffer;
use crate::http::{HttpError, ResponseReader};
use fernknot::interface::Nanos;
use fernknot_router_config::Limits;
use std::io::Write;
use std::net::SocketAddr;

const OK: u16 = 200;

/// Error of a call to discovery that returned no list.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The bytes are not a valid HTTP response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Discovery responded with this status instead of 200.
    #[error("discovery responded with status {0}")]
    Status(u16),
    /// The body is not a node list.
    #[error(transparent)]
    List(#[from] ListError),
}

/// Result of a call to discovery that returned a list.
#[derive(Debug)]
pub struct WatchUpdate {
    /// Complete list, or changes to the previous one.
    pub list: NodeList,
    /// Whether the connection can be used for the next call.
    pub keeps_connection: bool,
}

/// State of a watch: the first call requests the complete list, each later one the changes since the previous call.
#[derive(Debug, Default)]
pub struct Watch {
    /// Version of the list after which the next call requests changes; `None` requests the complete list.
    generation: Option<u64>,
    reader: ResponseReader,
}

impl Watch {
    /// Writes the next call. Returns true if the call requests changes, so that discovery may wait up to `wait` for
    /// one before it responds; a complete list is returned at once.
    pub fn write_request(&mut self, out: &mut Buffer, host: SocketAddr, wait: Nanos) -> bool {
        self.reader = ResponseReader::default();
        let wait_ms = wait.as_millis().round() as u64;
        let query = self.generation.map(|generation| format!("?index={generation}&wait={wait_ms}"));
        let is_long_poll = query.is_some();
        let query = query.unwrap_or_default();
        // Writing to a buffer never fails.
        let _ = write!(out, "GET /discovery/hosts{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        is_long_poll
    }

    /// Returns the received list, once it is complete; `is_eof` says that the other side has closed the connection.
    ///
    /// # Errors
    /// The call returned no list; the next call then requests the complete list, except after [`WatchError::Http`].
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        is_eof: bool,
        limits: &Limits,
    ) -> Result<Option<WatchUpdate>, WatchError> {
        let Some(response) = self.reader.read(buffer, is_eof, limits)? else { return Ok(None) };
        let parsed = match response.status {
            OK => parse_list(&response.body).map_err(WatchError::from),
            status => Err(WatchError::Status(status)),
        };
        let list = parsed.inspect_err(|_| self.generation = None)?;
        // Changes with a lower version than the known one mean that discovery has restarted, so they cannot be applied
        // to the known list; the next call requests the complete list.
        let is_older = !list.is_full && self.generation.is_some_and(|known| list.generation < known);
        self.generation = Some(list.generation).filter(|_| !is_older);
        Ok(Some(WatchUpdate { list, keeps_connection: response.keeps_connection }))
    }
}
