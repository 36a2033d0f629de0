//! The loop's connections.

use fernknot_protocol::buffer::Buffer;
use mio::event::Source;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Events, Interest, Poll, Token, Waker};
use std::collections::{BTreeSet, HashMap};
use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, SocketAddrV4};
use std::sync::Arc;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Why a connection could not be had or went, with the step and the peer.
#[derive(Debug, Error)]
#[error("{step} {peer}: {why}")]
pub struct NetError {
    pub step: &'static str,
    pub peer: SocketAddrV4,
    pub why: std::io::Error,
}

/// One connection or listening socket; its name is never used again.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ConnectionId(pub u64);

/// What bounds the loop.
#[derive(Clone, Debug)]
pub struct EventLoopSettings {
    /// Connections at once, of all kinds.
    pub max_connections: usize,
    /// Bytes read ahead of what is done with them, for each connection.
    pub read_ahead_bytes: usize,
    /// What has been sent and is not acknowledged for so long ends the connection.
    pub unacknowledged_timeout: Duration,
}

#[derive(Debug)]
pub enum Event {
    /// A connection came in at a listening socket.
    Accepted { connection: ConnectionId, listener: ConnectionId, peer: SocketAddrV4 },
    /// A connection that was asked for is up.
    Connected { connection: ConnectionId },
    /// Bytes came; `input` has them.
    Received { connection: ConnectionId },
    /// The other side sends nothing further; what it sent before is in `input`.
    ReadClosed { connection: ConnectionId },
    /// The connection is gone, whatever its input still holds; `opened` if it ever was up.
    Closed { connection: ConnectionId, was_open: bool, error: NetError },
    /// A datagram came to a socket of `datagrams`.
    Datagram { from: SocketAddrV4, bytes: Vec<u8> },
    /// Another thread asked for a turn.
    Woken,
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddrV4,
    is_open: bool,
    read_closed: bool,
    /// The other side has ended or reset it: what is left to read ends with that.
    hung_up: bool,
    input: Buffer,
    output: Buffer,
    /// Close once the output is written.
    closing: bool,
}

/// All sockets of a process.
pub struct EventLoop {
    poll: Poll,
    events: Events,
    settings: EventLoopSettings,
    connections: HashMap<ConnectionId, Connection>,
    listeners: HashMap<ConnectionId, TcpListener>,
    datagram_socket: Option<(ConnectionId, UdpSocket)>,
    last_id: u64,
    /// To be written at the end of the turn.
    pending_writes: BTreeSet<ConnectionId>,
    /// Sockets that may have more than was read for want of room.
    pending_reads: BTreeSet<ConnectionId>,
    /// Listening sockets that were left unaccepted for want of room.
    pending_accepts: BTreeSet<ConnectionId>,
    /// What had come over connections whose `Gone` the last turn told.
    unread_inputs: HashMap<ConnectionId, Buffer>,
    waker: Arc<Waker>,
}

const WAKER_TOKEN: Token = Token(0);
const READ_CHUNK_BYTES: usize = 16 * 1024;
/// Bytes of one datagram, and datagrams that one turn reads.
const MAX_DATAGRAM_BYTES: usize = 2048;
const MAX_DATAGRAMS_PER_POLL: usize = 256;

fn ipv4_addr(addr: SocketAddr) -> SocketAddrV4 {
    match addr {
        SocketAddr::V4(addr) => addr,
        SocketAddr::V6(_) => SocketAddrV4::new(std::net::Ipv4Addr::UNSPECIFIED, addr.port()),
    }
}

impl EventLoop {
    /// # Errors
    /// Where the system gives no poll.
    pub fn new(facts: EventLoopSettings) -> std::io::Result<EventLoop> {
        let poll = Poll::new()?;
        let waker = Arc::new(Waker::new(poll.registry(), WAKER_TOKEN)?);
        Ok(EventLoop {
            poll,
            events: Events::with_capacity(256),
            settings: facts,
            connections: HashMap::new(),
            listeners: HashMap::new(),
            datagram_socket: None,
            last_id: 1,
            pending_writes: BTreeSet::new(),
            pending_reads: BTreeSet::new(),
            pending_accepts: BTreeSet::new(),
            unread_inputs: HashMap::new(),
            waker,
        })
    }

    /// Wakes the loop from another thread.
    pub fn waker(&self) -> Arc<Waker> {
        self.waker.clone()
    }

    /// Connections at present, of all kinds.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    fn next_id(&mut self) -> ConnectionId {
        self.last_id += 1;
        ConnectionId(self.last_id)
    }

    /// # Errors
    /// Where the address cannot be had.
    pub fn listen(&mut self, addr: SocketAddrV4) -> Result<ConnectionId, NetError> {
        let fail = |why| NetError { step: "listen at", peer: addr, why };
        let mut listener = TcpListener::bind(addr.into()).map_err(fail)?;
        let berth = self.next_id();
        self.poll
            .registry()
            .register(&mut listener, Token(berth.0 as usize), Interest::READABLE)
            .map_err(fail)?;
        self.listeners.insert(berth, listener);
        Ok(berth)
    }

    /// Opens the one socket for datagrams, at this address.
    ///
    /// # Errors
    /// Where the address cannot be had.
    pub fn listen_datagrams(&mut self, addr: SocketAddrV4) -> Result<(), NetError> {
        let fail = |why| NetError { step: "listen for datagrams at", peer: addr, why };
        let mut socket = UdpSocket::bind(addr.into()).map_err(fail)?;
        let berth = self.next_id();
        let token = Token(berth.0 as usize);
        self.poll.registry().register(&mut socket, token, Interest::READABLE).map_err(fail)?;
        self.datagram_socket = Some((berth, socket));
        Ok(())
    }

    /// Sends a datagram, which may be lost; one that cannot be sent now is.
    pub fn send_datagram(&self, to: SocketAddrV4, bytes: &[u8]) {
        if let Some((_, socket)) = &self.datagram_socket {
            let _ = socket.send_to(bytes, to.into());
        }
    }

    fn read_datagrams(&mut self, news: &mut Vec<Event>) {
        let Some((_, socket)) = &self.datagram_socket else { return };
        let mut room = [0; MAX_DATAGRAM_BYTES];
        // What is left beyond that waits for the next one to come: a flood does not hold the loop.
        for _ in 0..MAX_DATAGRAMS_PER_POLL {
            match socket.recv_from(&mut room) {
                Ok((count, from)) => {
                    news.push(Event::Datagram { from: ipv4_addr(from), bytes: room[..count].to_vec() });
                }
                Err(why) if why.kind() == ErrorKind::WouldBlock => return,
                // An earlier one met a closed port.
                Err(_) => {}
            }
        }
    }

    /// Takes no further connections there.
    pub fn stop_listening(&mut self, berth: ConnectionId) {
        if let Some(mut listener) = self.listeners.remove(&berth) {
            let _ = listener.deregister(self.poll.registry());
        }
    }

    /// Begins a connection; `Opened` or `Gone` follows.
    ///
    /// # Errors
    /// Where none can be begun: no descriptors, no route, too many connections.
    pub fn connect(&mut self, peer: SocketAddrV4) -> Result<ConnectionId, NetError> {
        let fail = |why| NetError { step: "connect to", peer, why };
        if self.connections.len() >= self.settings.max_connections {
            return Err(fail(ErrorKind::QuotaExceeded.into()));
        }
        let stream = TcpStream::connect(peer.into()).map_err(fail)?;
        self.register(stream, peer, false).map_err(fail)
    }

    fn register(
        &mut self,
        mut stream: TcpStream,
        peer: SocketAddrV4,
        open: bool,
    ) -> std::io::Result<ConnectionId> {
        let _ = stream.set_nodelay(true);
        // Guards against peers that fall silent without a reset, behind a cut or without power.
        let _ =
            socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(self.settings.unacknowledged_timeout));
        let berth = self.next_id();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(berth.0 as usize), both)?;
        let link = Connection {
            stream,
            peer,
            is_open: open,
            read_closed: false,
            hung_up: false,
            input: Buffer::default(),
            output: Buffer::default(),
            closing: false,
        };
        self.connections.insert(berth, link);
        Ok(berth)
    }

    pub fn peer(&self, berth: ConnectionId) -> Option<SocketAddrV4> {
        self.connections.get(&berth).map(|link| link.peer)
    }

    /// Whether the connection is there and up.
    pub fn is_open(&self, berth: ConnectionId) -> bool {
        self.connections.get(&berth).is_some_and(|link| link.is_open)
    }

    /// Whether the connection is there and not yet up: nothing that was written has gone out.
    pub fn is_opening(&self, berth: ConnectionId) -> bool {
        self.connections.get(&berth).is_some_and(|link| !link.is_open)
    }

    /// What came and is not yet consumed.
    pub fn input(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        self.connections.get_mut(&berth).map(|link| &mut link.input)
    }

    /// What had come and was not consumed over a connection whose `Gone` the last turn told; once.
    pub fn take_unread_input(&mut self, berth: ConnectionId) -> Option<Buffer> {
        self.unread_inputs.remove(&berth)
    }

    /// Where to write; it goes out at the end of the turn.
    pub fn output(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        let link = self.connections.get_mut(&berth).filter(|link| !link.closing)?;
        self.pending_writes.insert(berth);
        Some(&mut link.output)
    }

    /// Bytes that wait to be written.
    pub fn pending_output_bytes(&self, berth: ConnectionId) -> usize {
        self.connections.get(&berth).map_or(0, |link| link.output.len())
    }

    /// Closes at once. Nothing further is told of it.
    pub fn close(&mut self, berth: ConnectionId) {
        if let Some(mut link) = self.connections.remove(&berth) {
            let _ = link.stream.deregister(self.poll.registry());
        }
        self.pending_writes.remove(&berth);
        self.pending_reads.remove(&berth);
    }

    /// Closes once all is written. Nothing further is told of it.
    pub fn close_after_flush(&mut self, berth: ConnectionId) {
        let Some(link) = self.connections.get_mut(&berth) else { return };
        if link.output.is_empty() && !self.pending_writes.contains(&berth) {
            return self.close(berth);
        }
        link.closing = true;
        self.pending_writes.insert(berth);
    }

    /// Closes with a reset, so that the other side cannot take what it got for whole.
    pub fn reset(&mut self, berth: ConnectionId) {
        if let Some(link) = self.connections.get(&berth) {
            let _ = socket2::SockRef::from(&link.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(berth);
    }

    /// Writes what there is, waits for news until `until`, and gives what happened.
    pub fn poll(&mut self, wait: Option<Duration>, news: &mut Vec<Event>) {
        self.unread_inputs.clear();
        self.flush(news);
        // What nobody takes is not read on, and keeps no loop awake.
        let ahead = self.settings.read_ahead_bytes;
        let roomy =
            |berth: &ConnectionId| self.connections.get(berth).is_none_or(|link| link.input.len() < ahead);
        let again: Vec<ConnectionId> = self.pending_reads.iter().copied().filter(roomy).collect();
        again.iter().for_each(|berth| _ = self.pending_reads.remove(berth));
        let wait = if news.is_empty() && again.is_empty() { wait } else { Some(Duration::ZERO) };
        if self.poll.poll(&mut self.events, wait).is_err() {
            return;
        }
        let seen = |event: &mio::event::Event| {
            let hung = event.is_read_closed() || event.is_error();
            (event.token().0 as u64, event.is_readable(), event.is_writable(), hung)
        };
        let seen: Vec<(u64, bool, bool, bool)> = self.events.iter().map(seen).collect();
        for (token, readable, writable, hung) in seen {
            let berth = ConnectionId(token);
            if token == WAKER_TOKEN.0 as u64 {
                news.push(Event::Woken);
            } else if self.listeners.contains_key(&berth) {
                self.accept(berth, news);
            } else if self.datagram_socket.as_ref().is_some_and(|(own, _)| *own == berth) {
                self.read_datagrams(news);
            } else {
                if writable {
                    self.handle_writable(berth, news);
                }
                if hung && let Some(link) = self.connections.get_mut(&berth) {
                    link.hung_up = true;
                }
                if readable {
                    self.read_input(berth, news);
                }
            }
        }
        for berth in again {
            self.read_input(berth, news);
        }
        for berth in std::mem::take(&mut self.pending_accepts) {
            self.accept(berth, news);
        }
    }

    fn accept(&mut self, at: ConnectionId, news: &mut Vec<Event>) {
        loop {
            if self.connections.len() >= self.settings.max_connections {
                self.pending_accepts.insert(at);
                return;
            }
            let Some(listener) = self.listeners.get(&at) else { return };
            match listener.accept() {
                Ok((stream, peer)) => {
                    let peer = ipv4_addr(peer);
                    if let Ok(berth) = self.register(stream, peer, true) {
                        news.push(Event::Accepted { connection: berth, listener: at, peer });
                    }
                }
                Err(why) if why.kind() == ErrorKind::WouldBlock => return,
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                // Descriptors are out, or the client has gone already: the next turn looks again.
                Err(_) => {
                    self.pending_accepts.insert(at);
                    return;
                }
            }
        }
    }

    fn connection_failed(
        &mut self,
        berth: ConnectionId,
        step: &'static str,
        why: std::io::Error,
        news: &mut Vec<Event>,
    ) {
        let Some(link) = self.connections.get_mut(&berth) else { return };
        let (opened, peer, told) = (link.is_open, link.peer, !link.closing);
        let rest = std::mem::take(&mut link.input);
        self.close(berth);
        if told {
            if !rest.is_empty() {
                self.unread_inputs.insert(berth, rest);
            }
            news.push(Event::Closed {
                connection: berth,
                was_open: opened,
                error: NetError { step, peer, why },
            });
        }
    }

    fn handle_writable(&mut self, berth: ConnectionId, news: &mut Vec<Event>) {
        let Some(link) = self.connections.get_mut(&berth) else { return };
        if !link.is_open {
            match link.stream.take_error() {
                Ok(Some(why)) | Err(why) => return self.connection_failed(berth, "connect to", why, news),
                Ok(None) if link.stream.peer_addr().is_err() => return,
                Ok(None) => {
                    link.is_open = true;
                    news.push(Event::Connected { connection: berth });
                }
            }
        }
        if self.connections.get(&berth).is_some_and(|link| !link.output.is_empty()) {
            self.write_output(berth, news);
        }
    }

    fn flush(&mut self, news: &mut Vec<Event>) {
        while let Some(berth) = self.pending_writes.pop_first() {
            self.write_output(berth, news);
        }
    }

    fn write_output(&mut self, berth: ConnectionId, news: &mut Vec<Event>) {
        let Some(link) = self.connections.get_mut(&berth).filter(|link| link.is_open) else { return };
        while !link.output.is_empty() {
            match link.stream.write(link.output.data()) {
                Ok(0) => return self.connection_failed(berth, "write to", ErrorKind::WriteZero.into(), news),
                Ok(count) => link.output.consume(count),
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(why) if why.kind() == ErrorKind::WouldBlock => return,
                Err(why) => return self.connection_failed(berth, "write to", why, news),
            }
        }
        link.output.shrink(READ_CHUNK_BYTES);
        if link.closing {
            self.close(berth);
        }
    }

    fn read_input(&mut self, berth: ConnectionId, news: &mut Vec<Event>) {
        let ahead = self.settings.read_ahead_bytes;
        let Some(link) = self.connections.get_mut(&berth) else { return };
        if !link.is_open || link.read_closed {
            return;
        }
        let mut came = false;
        loop {
            if link.input.len() >= ahead {
                self.pending_reads.insert(berth);
                break;
            }
            let room = link.input.space(READ_CHUNK_BYTES.min(ahead));
            let size = room.len();
            match link.stream.read(room) {
                Ok(0) => {
                    link.read_closed = true;
                    if came {
                        news.push(Event::Received { connection: berth });
                    }
                    news.push(Event::ReadClosed { connection: berth });
                    return;
                }
                Ok(count) => {
                    link.input.filled(count);
                    came = true;
                    // A short read has emptied the socket; what comes later is told anew. Guards against an end or a
                    // reset that came with the bytes, of which nothing more is told.
                    if count < size && !link.hung_up {
                        break;
                    }
                }
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(why) if why.kind() == ErrorKind::WouldBlock => break,
                Err(why) => {
                    if came {
                        news.push(Event::Received { connection: berth });
                    }
                    return self.connection_failed(berth, "read from", why, news);
                }
            }
        }
        if came {
            news.push(Event::Received { connection: berth });
        }
    }

    /// The time as the loop's clock has it.
    pub fn now(&self) -> Instant {
        Instant::now()
    }
}
