//! Connections of an event loop, with their pending reads and writes.

use crate::connection::{Connection, READ_CHUNK_BYTES, ReadEnd, WriteProgress};
use crate::counters::EventLoopCounters;
use crate::error::NetError;
use crate::event::{ConnectionId, Event};
use fernknot_protocol::buffer::Buffer;
use mio::Registry;
use mio::event::Source;
use std::collections::{BTreeSet, HashMap};

/// All connections, including those that are still opening.
pub(crate) struct ConnectionTable {
    connections: HashMap<ConnectionId, Connection>,
    /// Maximum number of unconsumed input bytes of a connection, above which it is not read.
    read_ahead: usize,
    /// Space that all connections read into, one after the other.
    read_chunk: Vec<u8>,
    /// Connections with output to write at the next poll.
    pending_writes: BTreeSet<ConnectionId>,
    /// Connections whose sockets may have unread bytes, since the input buffer was full.
    pending_reads: BTreeSet<ConnectionId>,
    /// Unconsumed input of the connections that the last poll reported as closed.
    unread_inputs: HashMap<ConnectionId, Buffer>,
    pub(crate) counters: EventLoopCounters,
}

impl ConnectionTable {
    pub(crate) fn new(read_ahead: usize) -> ConnectionTable {
        ConnectionTable {
            connections: HashMap::new(),
            read_ahead,
            read_chunk: vec![0; READ_CHUNK_BYTES.min(read_ahead)],
            pending_writes: BTreeSet::new(),
            pending_reads: BTreeSet::new(),
            unread_inputs: HashMap::new(),
            counters: EventLoopCounters::default(),
        }
    }

    pub(crate) fn len(&self) -> usize {
        self.connections.len()
    }

    pub(crate) fn insert(&mut self, id: ConnectionId, connection: Connection) {
        self.connections.insert(id, connection);
    }

    pub(crate) fn get(&self, id: ConnectionId) -> Option<&Connection> {
        self.connections.get(&id)
    }

    pub(crate) fn input(&mut self, id: ConnectionId) -> Option<&mut Buffer> {
        self.connections.get_mut(&id).map(|connection| &mut connection.input)
    }

    pub(crate) fn output(&mut self, id: ConnectionId) -> Option<&mut Buffer> {
        let connection = self.connections.get_mut(&id).filter(|connection| !connection.closing)?;
        self.pending_writes.insert(id);
        Some(&mut connection.output)
    }

    pub(crate) fn take_unread_input(&mut self, id: ConnectionId) -> Option<Buffer> {
        self.unread_inputs.remove(&id)
    }

    pub(crate) fn drop_unread_inputs(&mut self) {
        self.unread_inputs.clear();
    }

    /// Closes a connection at once. No event follows.
    pub(crate) fn close(&mut self, registry: &Registry, id: ConnectionId) {
        if let Some(mut connection) = self.connections.remove(&id) {
            let _ = connection.stream.deregister(registry);
            self.counters.closes += 1;
        }
        self.pending_writes.remove(&id);
        self.pending_reads.remove(&id);
    }

    /// Closes a connection once all of its output is written. No event follows.
    pub(crate) fn close_after_flush(&mut self, registry: &Registry, id: ConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if connection.output.is_empty() && !self.pending_writes.contains(&id) {
            return self.close(registry, id);
        }
        connection.closing = true;
        self.pending_writes.insert(id);
    }

    /// Writes the pending output of all connections.
    pub(crate) fn flush(&mut self, registry: &Registry, events: &mut Vec<Event>) {
        while let Some(id) = self.pending_writes.pop_first() {
            self.write_output(registry, id, events);
        }
    }

    /// Removes and returns the pending reads whose input buffers have space again. A connection with a full buffer is
    /// not returned, so that it does not make the loop spin.
    pub(crate) fn take_resumable_reads(&mut self) -> Vec<ConnectionId> {
        let (connections, read_ahead) = (&self.connections, self.read_ahead);
        let has_space =
            |id: &ConnectionId| connections.get(id).is_none_or(|found| found.input.len() < read_ahead);
        let resumable: Vec<ConnectionId> = self.pending_reads.iter().copied().filter(has_space).collect();
        for id in &resumable {
            self.pending_reads.remove(id);
        }
        resumable
    }

    /// Records that the peer has closed or reset the connection; the bytes that it sent before are still to be read.
    pub(crate) fn set_hung_up(&mut self, id: ConnectionId) {
        if let Some(connection) = self.connections.get_mut(&id) {
            connection.hung_up = true;
        }
    }

    /// Handles a writable socket: an opening connection is now open or has failed; pending output is written.
    pub(crate) fn handle_writable(&mut self, registry: &Registry, id: ConnectionId, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_open {
            match connection.stream.take_error() {
                Ok(Some(error)) | Err(error) => {
                    return self.connection_failed(registry, id, "connect to", error, events);
                }
                Ok(None) if connection.stream.peer_addr().is_err() => return,
                Ok(None) => {
                    connection.is_open = true;
                    self.counters.opens += 1;
                    events.push(Event::Connected { connection: id });
                }
            }
        }
        if !connection.output.is_empty() {
            self.write_output(registry, id, events);
        }
    }

    fn write_output(&mut self, registry: &Registry, id: ConnectionId, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&id).filter(|found| found.is_open) else { return };
        self.counters.writes += 1;
        match connection.write() {
            Ok(WriteProgress::Flushed) if connection.closing => self.close(registry, id),
            Ok(WriteProgress::Flushed | WriteProgress::Blocked) => {}
            Err(error) => self.connection_failed(registry, id, "write to", error, events),
        }
    }

    /// Reads the bytes available from the socket.
    pub(crate) fn read_input(&mut self, registry: &Registry, id: ConnectionId, events: &mut Vec<Event>) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_open || connection.read_closed {
            return;
        }
        let progress = connection.read(&mut self.read_chunk, self.read_ahead);
        self.counters.reads += progress.reads;
        if progress.received {
            events.push(Event::Received { connection: id });
        }
        match progress.end {
            ReadEnd::Drained => {}
            ReadEnd::BufferFull => _ = self.pending_reads.insert(id),
            ReadEnd::Closed => events.push(Event::ReadClosed { connection: id }),
            ReadEnd::Failed(error) => self.connection_failed(registry, id, "read from", error, events),
        }
    }

    /// Closes a connection that has failed, and reports the failure unless [`Self::close_after_flush`] was called for
    /// the connection before.
    fn connection_failed(
        &mut self,
        registry: &Registry,
        id: ConnectionId,
        step: &'static str,
        source: std::io::Error,
        events: &mut Vec<Event>,
    ) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let (was_open, peer, is_closing) = (connection.is_open, connection.peer, connection.closing);
        let unread = std::mem::take(&mut connection.input);
        self.close(registry, id);
        if is_closing {
            return;
        }
        if !unread.is_empty() {
            self.unread_inputs.insert(id, unread);
        }
        let error = NetError { step, peer, source };
        events.push(Event::Closed { connection: id, was_open, error });
    }
}
