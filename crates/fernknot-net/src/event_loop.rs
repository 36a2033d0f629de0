//! The event loop: all sockets of a process behind one `mio` poll.

use crate::connection::Connection;
use crate::connection_table::ConnectionTable;
use crate::datagrams::{DatagramSocket, ipv4_addr};
use crate::error::NetError;
use crate::event::{ConnectionId, Event};
use fernknot_protocol::buffer::Buffer;
use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeSet, HashMap};
use std::io::ErrorKind;
use std::net::SocketAddrV4;
use std::sync::Arc;
use std::time::{Duration, Instant};

const WAKER_TOKEN: Token = Token(0);
/// Readiness events that one poll takes from the operating system.
const MAX_EVENTS_PER_POLL: usize = 256;

/// What bounds the loop.
#[derive(Clone, Debug)]
pub struct EventLoopSettings {
    /// Connections at once, accepted and begun ones together.
    pub max_connections: usize,
    /// Bytes that are read ahead of their consumer, for each connection.
    pub read_ahead_bytes: usize,
    /// A connection fails when bytes that were sent are not acknowledged for so long (`TCP_USER_TIMEOUT`).
    pub unacknowledged_timeout: Duration,
}

/// All sockets of a process.
pub struct EventLoop {
    poll: Poll,
    readiness_events: Events,
    settings: EventLoopSettings,
    connections: ConnectionTable,
    listeners: HashMap<ConnectionId, TcpListener>,
    /// Listening sockets that may have more connections than were accepted.
    pending_accepts: BTreeSet<ConnectionId>,
    datagram_socket: Option<DatagramSocket>,
    last_id: u64,
    waker: Arc<Waker>,
}

/// What the operating system reports of one socket.
struct Readiness {
    token: Token,
    readable: bool,
    writable: bool,
    hung_up: bool,
}

impl EventLoop {
    /// A loop without sockets.
    ///
    /// # Errors
    /// The operating system refuses a poll instance or its waker.
    pub fn new(settings: EventLoopSettings) -> std::io::Result<EventLoop> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        Ok(EventLoop {
            poll,
            readiness_events: Events::with_capacity(MAX_EVENTS_PER_POLL),
            connections: ConnectionTable::new(settings.read_ahead_bytes),
            settings,
            listeners: HashMap::new(),
            pending_accepts: BTreeSet::new(),
            datagram_socket: None,
            last_id: 1,
            waker,
        })
    }

    /// A handle that wakes the loop from another thread; [`Event::Woken`] follows.
    pub fn waker(&self) -> Arc<Waker> {
        self.waker.clone()
    }

    /// The time by the loop's clock.
    pub fn now(&self) -> Instant {
        Instant::now()
    }

    /// Begins to accept connections at this address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn listen(&mut self, addr: SocketAddrV4) -> Result<ConnectionId, NetError> {
        let fail = |source| NetError { step: "listen at", peer: addr, source };
        let mut listener = TcpListener::bind(addr.into()).map_err(fail)?;
        let id = self.next_id();
        self.watch(&mut listener, id, Interest::READABLE).map_err(fail)?;
        self.listeners.insert(id, listener);
        Ok(id)
    }

    /// Accepts no further connections at this listening socket, and closes it.
    pub fn stop_listening(&mut self, listener: ConnectionId) {
        if let Some(mut listener) = self.listeners.remove(&listener) {
            let _ = listener.deregister(self.poll.registry());
        }
    }

    /// Opens the one socket for datagrams, at this address.
    ///
    /// # Errors
    /// The address cannot be bound.
    pub fn listen_datagrams(&mut self, addr: SocketAddrV4) -> Result<(), NetError> {
        let fail = |source| NetError { step: "listen for datagrams at", peer: addr, source };
        let mut socket = UdpSocket::bind(addr.into()).map_err(fail)?;
        let id = self.next_id();
        self.watch(&mut socket, id, Interest::READABLE).map_err(fail)?;
        self.datagram_socket = Some(DatagramSocket { id, socket });
        Ok(())
    }

    /// Sends a datagram. It may be lost; one that the socket does not take now is dropped.
    pub fn send_datagram(&self, to: SocketAddrV4, bytes: &[u8]) {
        if let Some(socket) = &self.datagram_socket {
            socket.send(to, bytes);
        }
    }

    /// Begins a connection; [`Event::Connected`] or [`Event::Closed`] follows.
    ///
    /// # Errors
    /// No connection can be begun: no descriptors, no route, too many connections.
    pub fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        let fail = |source| NetError { step: "connect to", peer, source };
        if self.connections.len() >= self.settings.max_connections {
            return Err(fail(ErrorKind::QuotaExceeded.into()));
        }
        let stream = TcpStream::connect(peer.into()).map_err(fail)?;
        self.register(stream, peer, false).map_err(fail)
    }

    /// The remote address of a connection.
    pub fn peer(&self, connection: ConnectionId) -> Option<SocketAddrV4> {
        self.connections.get(connection).map(|connection| connection.peer)
    }

    /// Whether the connection exists and is open.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.connections.get(connection).is_some_and(|connection| connection.is_open)
    }

    /// Whether the connection exists and is not open yet: nothing that was written has been sent.
    pub fn is_opening(&self, connection: ConnectionId) -> bool {
        self.connections.get(connection).is_some_and(|connection| !connection.is_open)
    }

    /// What was received and is not consumed yet.
    pub fn input(&mut self, connection: ConnectionId) -> Option<&mut Buffer> {
        self.connections.input(connection)
    }

    /// Takes what was received and not consumed over a connection that the last poll reported as closed.
    pub fn take_unread_input(&mut self, connection: ConnectionId) -> Option<Buffer> {
        self.connections.take_unread_input(connection)
    }

    /// The buffer to write to, which the next poll sends; `None` once the connection is closing.
    pub fn output(&mut self, connection: ConnectionId) -> Option<&mut Buffer> {
        self.connections.output(connection)
    }

    /// Bytes that wait to be written.
    pub fn pending_output_bytes(&self, connection: ConnectionId) -> usize {
        self.connections.get(connection).map_or(0, |connection| connection.output.len())
    }

    /// Closes the connection at once and drops its pending output. No event follows.
    pub fn close(&mut self, connection: ConnectionId) {
        self.connections.close(self.poll.registry(), connection);
    }

    /// Closes the connection once all of its output is written. No event follows.
    pub fn close_after_flush(&mut self, connection: ConnectionId) {
        self.connections.close_after_flush(self.poll.registry(), connection);
    }

    /// Writes pending output, waits for events for `timeout` at most (`None`: until there is one), and appends what
    /// happened to `events`.
    pub fn poll(&mut self, timeout: Option<Duration>, events: &mut Vec<Event>) {
        self.connections.drop_unread_inputs();
        self.connections.flush(self.poll.registry(), events);
        let resumed_reads = self.connections.take_resumable_reads();
        let is_idle = events.is_empty() && resumed_reads.is_empty();
        let timeout = if is_idle { timeout } else { Some(Duration::ZERO) };
        if self.poll.poll(&mut self.readiness_events, timeout).is_err() {
            return;
        }
        for readiness in self.take_readiness() {
            self.handle_readiness(&readiness, events);
        }
        for connection in resumed_reads {
            self.connections.read_input(self.poll.registry(), connection, events);
        }
        for listener in std::mem::take(&mut self.pending_accepts) {
            self.accept(listener, events);
        }
    }

    fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    fn watch(&self, socket: &mut impl Source, id: ConnectionId, interest: Interest) -> std::io::Result<()> {
        self.poll.registry().register(socket, Token(id.0 as usize), interest)
    }

    /// Takes a stream that is open or opening into the loop.
    fn register(
        &mut self,
        mut stream: TcpStream,
        peer: SocketAddrV4,
        is_open: bool,
    ) -> std::io::Result<ConnectionId> {
        let _ = stream.set_nodelay(true);
        // Guards against peers that fall silent without a reset: without power, or behind a network partition.
        let timeout = Some(self.settings.unacknowledged_timeout);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(timeout);
        let id = self.next_id();
        self.watch(&mut stream, id, Interest::READABLE | Interest::WRITABLE)?;
        self.connections.insert(id, Connection::new(stream, peer, is_open));
        Ok(id)
    }

    fn take_readiness(&self) -> Vec<Readiness> {
        let readiness = |event: &mio::event::Event| Readiness {
            token: event.token(),
            readable: event.is_readable(),
            writable: event.is_writable(),
            hung_up: event.is_read_closed() || event.is_error(),
        };
        self.readiness_events.iter().map(readiness).collect()
    }

    fn handle_readiness(&mut self, readiness: &Readiness, events: &mut Vec<Event>) {
        let id = ConnectionId(readiness.token.0 as u64);
        if readiness.token == WAKER_TOKEN {
            events.push(Event::Woken);
        } else if self.listeners.contains_key(&id) {
            self.accept(id, events);
        } else if let Some(socket) = self.datagram_socket.as_ref().filter(|socket| socket.id == id) {
            socket.receive(events);
        } else {
            self.handle_connection_readiness(id, readiness, events);
        }
    }

    fn handle_connection_readiness(
        &mut self,
        id: ConnectionId,
        readiness: &Readiness,
        events: &mut Vec<Event>,
    ) {
        let registry = self.poll.registry();
        if readiness.writable {
            self.connections.handle_writable(registry, id, events);
        }
        if readiness.hung_up {
            self.connections.set_hung_up(id);
        }
        if readiness.readable {
            self.connections.read_input(registry, id, events);
        }
    }

    fn accept(&mut self, listener: ConnectionId, events: &mut Vec<Event>) {
        loop {
            if self.connections.len() >= self.settings.max_connections {
                self.pending_accepts.insert(listener);
                return;
            }
            let Some(socket) = self.listeners.get(&listener) else { return };
            match socket.accept() {
                Ok((stream, peer)) => {
                    let peer = ipv4_addr(peer);
                    if let Ok(connection) = self.register(stream, peer, true) {
                        events.push(Event::Accepted { connection, listener, peer });
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // No descriptors are left, or the client has gone already: the next poll tries again.
                Err(_) => {
                    self.pending_accepts.insert(listener);
                    return;
                }
            }
        }
    }
}
