//! The watch that follows discovery's list: one call after the other over one connection.

use super::list::{ListError, NodeList, parse_list};
use crate::buffer::Buffer;
use crate::http::{HttpError, ResponseReader};
use fernknot::interface::Nanos;
use fernknot_router_config::Limits;
use std::io::Write;
use std::net::SocketAddr;

const OK: u16 = 200;

/// A call that brought no list.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The bytes are no response.
    #[error(transparent)]
    Http(#[from] HttpError),
    /// Discovery answered with this status.
    #[error("answered {0}")]
    Status(u16),
    /// The body is no list.
    #[error(transparent)]
    List(#[from] ListError),
}

/// What a call brought.
#[derive(Debug)]
pub struct WatchUpdate {
    /// The list, or the changes to it.
    pub list: NodeList,
    /// The connection can be used for the next call.
    pub keeps_connection: bool,
}

/// One call after the other: the whole list first, then what has changed since.
#[derive(Debug, Default)]
pub struct Watch {
    /// The version of the list that the next call continues from.
    generation: Option<u64>,
    reader: ResponseReader,
}

impl Watch {
    /// Writes the next call; true if discovery may wait as long as `wait` for a change before it answers.
    pub fn write_request(&mut self, out: &mut Buffer, host: SocketAddr, wait: Nanos) -> bool {
        self.reader = ResponseReader::default();
        let wait_ms = wait.as_millis().round() as u64;
        let query = self.generation.map(|generation| format!("?index={generation}&wait={wait_ms}"));
        let is_long_poll = query.is_some();
        let query = query.unwrap_or_default();
        // Writing to a buffer does not fail.
        let _ = write!(out, "GET /discovery/hosts{query} HTTP/1.1\r\nHost: {host}\r\n\r\n");
        is_long_poll
    }

    /// The list that has come, once it is complete; `ended` says that nothing further will come.
    ///
    /// # Errors
    /// The call brought no list; the next one asks for all of it, unless the response itself could not be read.
    pub fn read(
        &mut self,
        buffer: &mut Buffer,
        ended: bool,
        limits: &Limits,
    ) -> Result<Option<WatchUpdate>, WatchError> {
        let Some(response) = self.reader.read(buffer, ended, limits)? else { return Ok(None) };
        let parsed = match response.status {
            OK => parse_list(&response.body).map_err(WatchError::from),
            status => Err(WatchError::Status(status)),
        };
        let list = parsed.inspect_err(|_| self.generation = None)?;
        // Changes of an older version than the one known continue nothing: discovery has begun anew, so all of its
        // list is asked for.
        let goes_back = !list.is_full && self.generation.is_some_and(|known| list.generation < known);
        self.generation = Some(list.generation).filter(|_| !goes_back);
        Ok(Some(WatchUpdate { list, keeps_connection: response.keeps_connection }))
    }
}
