//! Event loop: all sockets of a process, polled with `mio`.

use crate::connection::Connection;
use crate::connection_table::ConnectionTable;
use crate::counters::EventLoopCounters;
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
/// Maximum number of readiness events that one poll gets from the operating system.
const MAX_EVENTS_PER_POLL: usize = 256;

/// Limits of an event loop.
#[derive(Clone, Debug)]
pub struct EventLoopSettings {
    /// Maximum number of connections, accepted and outgoing ones together.
    pub max_connections: usize,
    /// Maximum number of unconsumed input bytes of a connection, above which it is not read.
    pub read_ahead_bytes: usize,
    /// Time without acknowledgement of sent bytes after which a connection fails (`TCP_USER_TIMEOUT`).
    pub unacknowledged_timeout: Duration,
}

/// Event loop with all sockets of a process.
pub struct EventLoop {
    poll: Poll,
    readiness_events: Events,
    settings: EventLoopSettings,
    connections: ConnectionTable,
    listeners: HashMap<ConnectionId, TcpListener>,
    /// Listening sockets that may have connections to accept, because accepting stopped at the maximum number of
    /// connections or at an error.
    pending_accepts: BTreeSet<ConnectionId>,
    datagram_socket: Option<DatagramSocket>,
    last_id: u64,
    waker: Arc<Waker>,
}

/// Readiness of a socket, as reported by the operating system.
struct Readiness {
    token: Token,
    readable: bool,
    writable: bool,
    hung_up: bool,
}

impl Readiness {
    fn new(event: &mio::event::Event) -> Readiness {
        Readiness {
            token: event.token(),
            readable: event.is_readable(),
            writable: event.is_writable(),
            hung_up: event.is_read_closed() || event.is_error(),
        }
    }
}

impl EventLoop {
    /// Creates an event loop without sockets.
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

    /// Returns a handle that wakes the loop from another thread; [`Event::Woken`] follows.
    pub fn waker(&self) -> Arc<Waker> {
        self.waker.clone()
    }

    /// Returns the current time of the loop's clock.
    pub fn now(&self) -> Instant {
        Instant::now()
    }

    /// Starts accepting connections at this address.
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

    /// Closes a listening socket, which accepts no further connections.
    pub fn stop_listening(&mut self, listener: ConnectionId) {
        if let Some(mut listener) = self.listeners.remove(&listener) {
            let _ = listener.deregister(self.poll.registry());
        }
    }

    /// Opens the datagram socket at this address. A loop has at most one.
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

    /// Sends a datagram, which may be lost. It is dropped if the socket does not accept it now.
    pub fn send_datagram(&self, to: SocketAddrV4, bytes: &[u8]) {
        if let Some(socket) = &self.datagram_socket {
            socket.send(to, bytes);
        }
    }

    /// Starts a connection; [`Event::Connected`] or [`Event::Closed`] follows.
    ///
    /// # Errors
    /// The connection cannot be started: no file descriptor left, no route, or too many connections.
    pub fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        let fail = |source| NetError { step: "connect to", peer, source };
        if self.connections.len() >= self.settings.max_connections {
            return Err(fail(ErrorKind::QuotaExceeded.into()));
        }
        let stream = TcpStream::connect(peer.into()).map_err(fail)?;
        self.connections.counters.connects += 1;
        self.register(stream, peer, false).map_err(fail)
    }

    /// Returns the remote address of a connection.
    pub fn peer(&self, connection: ConnectionId) -> Option<SocketAddrV4> {
        self.connections.get(connection).map(|connection| connection.peer)
    }

    /// Whether the connection exists and is open.
    pub fn is_open(&self, connection: ConnectionId) -> bool {
        self.connections.get(connection).is_some_and(|connection| connection.is_open)
    }

    /// Whether the connection exists and is not open yet, so that no output has been sent.
    pub fn is_opening(&self, connection: ConnectionId) -> bool {
        self.connections.get(connection).is_some_and(|connection| !connection.is_open)
    }

    /// Returns the input that was received and not yet consumed.
    pub fn input(&mut self, connection: ConnectionId) -> Option<&mut Buffer> {
        self.connections.input(connection)
    }

    /// Removes and returns the unconsumed input of a connection that the last poll reported as closed.
    pub fn take_unread_input(&mut self, connection: ConnectionId) -> Option<Buffer> {
        self.connections.take_unread_input(connection)
    }

    /// Returns the output buffer, which the next poll writes; `None` once the connection is closing.
    pub fn output(&mut self, connection: ConnectionId) -> Option<&mut Buffer> {
        self.connections.output(connection)
    }

    /// Returns the number of output bytes that are not yet written.
    pub fn pending_output_bytes(&self, connection: ConnectionId) -> usize {
        self.connections.get(connection).map_or(0, |connection| connection.output.len())
    }

    /// Returns the counters since the start of the loop.
    pub fn counters(&self) -> EventLoopCounters {
        self.connections.counters
    }

    /// Closes the connection at once and drops its pending output. No event follows.
    pub fn close(&mut self, connection: ConnectionId) {
        self.connections.close(self.poll.registry(), connection);
    }

    /// Closes the connection once all of its output is written. No event follows.
    pub fn close_after_flush(&mut self, connection: ConnectionId) {
        self.connections.close_after_flush(self.poll.registry(), connection);
    }

    /// Writes pending output, and waits for events as [`wait`](Self::wait) does.
    pub fn poll(&mut self, timeout: Option<Duration>, events: &mut Vec<Event>) {
        self.flush(events);
        self.wait(timeout, events);
    }

    /// Writes pending output, and appends the ends of connections that failed to `events`. Unconsumed input of the
    /// connections that were reported as closed before is dropped.
    pub fn flush(&mut self, events: &mut Vec<Event>) {
        self.connections.drop_unread_inputs();
        self.connections.flush(self.poll.registry(), events);
    }

    /// Waits for events for at most `timeout` (`None`: without limit), and appends them to `events`. It does not wait if
    /// `events` is not empty, or if reading stopped at a full buffer that has space again. Output has to be flushed before.
    pub fn wait(&mut self, timeout: Option<Duration>, events: &mut Vec<Event>) {
        let resumed_reads = self.connections.take_resumable_reads();
        let is_idle = events.is_empty() && resumed_reads.is_empty();
        let timeout = if is_idle { timeout } else { Some(Duration::ZERO) };
        self.connections.counters.polls += 1;
        if self.poll.poll(&mut self.readiness_events, timeout).is_err() {
            return;
        }
        let readiness_events = std::mem::replace(&mut self.readiness_events, Events::with_capacity(0));
        for readiness in readiness_events.iter().map(Readiness::new) {
            self.handle_readiness(&readiness, events);
        }
        self.readiness_events = readiness_events;
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

    /// Adds an open or opening stream to the loop.
    fn register(
        &mut self,
        mut stream: TcpStream,
        peer: SocketAddrV4,
        is_open: bool,
    ) -> std::io::Result<ConnectionId> {
        let _ = stream.set_nodelay(true);
        // Detects peers that disappear without a reset, by loss of power or a network partition.
        let timeout = Some(self.settings.unacknowledged_timeout);
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(timeout);
        let id = self.next_id();
        self.watch(&mut stream, id, Interest::READABLE | Interest::WRITABLE)?;
        self.connections.insert(id, Connection::new(stream, peer, is_open));
        Ok(id)
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
                    self.connections.counters.accepts += 1;
                    if let Ok(connection) = self.register(stream, peer, true) {
                        events.push(Event::Accepted { connection, listener, peer });
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                Err(error) if error.kind() == ErrorKind::Interrupted => {}
                // No file descriptors are left, or the client has already closed the connection: the next poll retries.
                Err(_) => {
                    self.pending_accepts.insert(listener);
                    return;
                }
            }
        }
    }
}
