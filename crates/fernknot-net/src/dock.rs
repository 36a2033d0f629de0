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
    pub links: usize,
    /// Bytes read ahead of what is done with them, for each connection.
    pub ahead: usize,
    /// What has been sent and is not acknowledged for so long ends the connection.
    pub silence: Duration,
}

#[derive(Debug)]
pub enum Event {
    /// A connection came in at a listening socket.
    Accepted { berth: ConnectionId, at: ConnectionId, peer: SocketAddrV4 },
    /// A connection that was asked for is up.
    Opened { berth: ConnectionId },
    /// Bytes came; `input` has them.
    Came { berth: ConnectionId },
    /// The other side sends nothing further; what it sent before is in `input`.
    Ended { berth: ConnectionId },
    /// The connection is gone, whatever its input still holds; `opened` if it ever was up.
    Gone { berth: ConnectionId, opened: bool, why: NetError },
    /// A datagram came to a socket of `datagrams`.
    Datagram { from: SocketAddrV4, bytes: Vec<u8> },
    /// Another thread asked for a turn.
    Woken,
}

struct Connection {
    stream: TcpStream,
    peer: SocketAddrV4,
    open: bool,
    ended: bool,
    /// The other side has ended or reset it: what is left to read ends with that.
    hung: bool,
    input: Buffer,
    output: Buffer,
    /// Close once the output is written.
    closing: bool,
}

/// All sockets of a process.
pub struct EventLoop {
    poll: Poll,
    events: Events,
    facts: EventLoopSettings,
    links: HashMap<ConnectionId, Connection>,
    listeners: HashMap<ConnectionId, TcpListener>,
    datagrams: Option<(ConnectionId, UdpSocket)>,
    next: u64,
    /// To be written at the end of the turn.
    dirty: BTreeSet<ConnectionId>,
    /// Sockets that may have more than was read for want of room.
    more: BTreeSet<ConnectionId>,
    /// Listening sockets that were left unaccepted for want of room.
    held_back: BTreeSet<ConnectionId>,
    /// What had come over connections whose `Gone` the last turn told.
    rests: HashMap<ConnectionId, Buffer>,
    waker: Arc<Waker>,
}

const WAKER: Token = Token(0);
const READ: usize = 16 * 1024;
/// Bytes of one datagram, and datagrams that one turn reads.
const DATAGRAM: usize = 2048;
const DATAGRAMS: usize = 256;

fn v4(addr: SocketAddr) -> SocketAddrV4 {
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
        let waker = Arc::new(Waker::new(poll.registry(), WAKER)?);
        Ok(EventLoop {
            poll,
            events: Events::with_capacity(256),
            facts,
            links: HashMap::new(),
            listeners: HashMap::new(),
            datagrams: None,
            next: 1,
            dirty: BTreeSet::new(),
            more: BTreeSet::new(),
            held_back: BTreeSet::new(),
            rests: HashMap::new(),
            waker,
        })
    }

    /// Wakes the loop from another thread.
    pub fn waker(&self) -> Arc<Waker> {
        self.waker.clone()
    }

    /// Connections at present, of all kinds.
    pub fn len(&self) -> usize {
        self.links.len()
    }

    pub fn is_empty(&self) -> bool {
        self.links.is_empty()
    }

    fn name(&mut self) -> ConnectionId {
        self.next += 1;
        ConnectionId(self.next)
    }

    /// # Errors
    /// Where the address cannot be had.
    pub fn listen(&mut self, addr: SocketAddrV4) -> Result<ConnectionId, NetError> {
        let fail = |why| NetError { step: "listen at", peer: addr, why };
        let mut listener = TcpListener::bind(addr.into()).map_err(fail)?;
        let berth = self.name();
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
        let berth = self.name();
        let token = Token(berth.0 as usize);
        self.poll.registry().register(&mut socket, token, Interest::READABLE).map_err(fail)?;
        self.datagrams = Some((berth, socket));
        Ok(())
    }

    /// Sends a datagram, which may be lost; one that cannot be sent now is.
    pub fn send_datagram(&self, to: SocketAddrV4, bytes: &[u8]) {
        if let Some((_, socket)) = &self.datagrams {
            let _ = socket.send_to(bytes, to.into());
        }
    }

    fn read_datagrams(&mut self, news: &mut Vec<Event>) {
        let Some((_, socket)) = &self.datagrams else { return };
        let mut room = [0; DATAGRAM];
        // What is left beyond that waits for the next one to come: a flood does not hold the loop.
        for _ in 0..DATAGRAMS {
            match socket.recv_from(&mut room) {
                Ok((count, from)) => {
                    news.push(Event::Datagram { from: v4(from), bytes: room[..count].to_vec() });
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
        if self.links.len() >= self.facts.links {
            return Err(fail(ErrorKind::QuotaExceeded.into()));
        }
        let stream = TcpStream::connect(peer.into()).map_err(fail)?;
        self.add(stream, peer, false).map_err(fail)
    }

    fn add(
        &mut self,
        mut stream: TcpStream,
        peer: SocketAddrV4,
        open: bool,
    ) -> std::io::Result<ConnectionId> {
        let _ = stream.set_nodelay(true);
        // Guards against peers that fall silent without a reset, behind a cut or without power.
        let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(self.facts.silence));
        let berth = self.name();
        let both = Interest::READABLE | Interest::WRITABLE;
        self.poll.registry().register(&mut stream, Token(berth.0 as usize), both)?;
        let link = Connection {
            stream,
            peer,
            open,
            ended: false,
            hung: false,
            input: Buffer::default(),
            output: Buffer::default(),
            closing: false,
        };
        self.links.insert(berth, link);
        Ok(berth)
    }

    pub fn peer(&self, berth: ConnectionId) -> Option<SocketAddrV4> {
        self.links.get(&berth).map(|link| link.peer)
    }

    /// Whether the connection is there and up.
    pub fn is_open(&self, berth: ConnectionId) -> bool {
        self.links.get(&berth).is_some_and(|link| link.open)
    }

    /// Whether the connection is there and not yet up: nothing that was written has gone out.
    pub fn is_opening(&self, berth: ConnectionId) -> bool {
        self.links.get(&berth).is_some_and(|link| !link.open)
    }

    /// What came and is not yet consumed.
    pub fn input(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        self.links.get_mut(&berth).map(|link| &mut link.input)
    }

    /// What had come and was not consumed over a connection whose `Gone` the last turn told; once.
    pub fn take_rest(&mut self, berth: ConnectionId) -> Option<Buffer> {
        self.rests.remove(&berth)
    }

    /// Where to write; it goes out at the end of the turn.
    pub fn output(&mut self, berth: ConnectionId) -> Option<&mut Buffer> {
        let link = self.links.get_mut(&berth).filter(|link| !link.closing)?;
        self.dirty.insert(berth);
        Some(&mut link.output)
    }

    /// Bytes that wait to be written.
    pub fn waiting(&self, berth: ConnectionId) -> usize {
        self.links.get(&berth).map_or(0, |link| link.output.len())
    }

    /// Closes at once. Nothing further is told of it.
    pub fn close(&mut self, berth: ConnectionId) {
        if let Some(mut link) = self.links.remove(&berth) {
            let _ = link.stream.deregister(self.poll.registry());
        }
        self.dirty.remove(&berth);
        self.more.remove(&berth);
    }

    /// Closes once all is written. Nothing further is told of it.
    pub fn close_after(&mut self, berth: ConnectionId) {
        let Some(link) = self.links.get_mut(&berth) else { return };
        if link.output.is_empty() && !self.dirty.contains(&berth) {
            return self.close(berth);
        }
        link.closing = true;
        self.dirty.insert(berth);
    }

    /// Closes with a reset, so that the other side cannot take what it got for whole.
    pub fn reset(&mut self, berth: ConnectionId) {
        if let Some(link) = self.links.get(&berth) {
            let _ = socket2::SockRef::from(&link.stream).set_linger(Some(Duration::ZERO));
        }
        self.close(berth);
    }

    /// Writes what there is, waits for news until `until`, and gives what happened.
    pub fn turn(&mut self, wait: Option<Duration>, news: &mut Vec<Event>) {
        self.rests.clear();
        self.flush(news);
        // What nobody takes is not read on, and keeps no loop awake.
        let ahead = self.facts.ahead;
        let roomy = |berth: &ConnectionId| self.links.get(berth).is_none_or(|link| link.input.len() < ahead);
        let again: Vec<ConnectionId> = self.more.iter().copied().filter(roomy).collect();
        again.iter().for_each(|berth| _ = self.more.remove(berth));
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
            if token == WAKER.0 as u64 {
                news.push(Event::Woken);
            } else if self.listeners.contains_key(&berth) {
                self.accept(berth, news);
            } else if self.datagrams.as_ref().is_some_and(|(own, _)| *own == berth) {
                self.read_datagrams(news);
            } else {
                if writable {
                    self.writable(berth, news);
                }
                if hung && let Some(link) = self.links.get_mut(&berth) {
                    link.hung = true;
                }
                if readable {
                    self.read(berth, news);
                }
            }
        }
        for berth in again {
            self.read(berth, news);
        }
        for berth in std::mem::take(&mut self.held_back) {
            self.accept(berth, news);
        }
    }

    fn accept(&mut self, at: ConnectionId, news: &mut Vec<Event>) {
        loop {
            if self.links.len() >= self.facts.links {
                self.held_back.insert(at);
                return;
            }
            let Some(listener) = self.listeners.get(&at) else { return };
            match listener.accept() {
                Ok((stream, peer)) => {
                    let peer = v4(peer);
                    if let Ok(berth) = self.add(stream, peer, true) {
                        news.push(Event::Accepted { berth, at, peer });
                    }
                }
                Err(why) if why.kind() == ErrorKind::WouldBlock => return,
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                // Descriptors are out, or the client has gone already: the next turn looks again.
                Err(_) => {
                    self.held_back.insert(at);
                    return;
                }
            }
        }
    }

    fn gone(&mut self, berth: ConnectionId, step: &'static str, why: std::io::Error, news: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(&berth) else { return };
        let (opened, peer, told) = (link.open, link.peer, !link.closing);
        let rest = std::mem::take(&mut link.input);
        self.close(berth);
        if told {
            if !rest.is_empty() {
                self.rests.insert(berth, rest);
            }
            news.push(Event::Gone { berth, opened, why: NetError { step, peer, why } });
        }
    }

    fn writable(&mut self, berth: ConnectionId, news: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(&berth) else { return };
        if !link.open {
            match link.stream.take_error() {
                Ok(Some(why)) | Err(why) => return self.gone(berth, "connect to", why, news),
                Ok(None) if link.stream.peer_addr().is_err() => return,
                Ok(None) => {
                    link.open = true;
                    news.push(Event::Opened { berth });
                }
            }
        }
        if self.links.get(&berth).is_some_and(|link| !link.output.is_empty()) {
            self.write(berth, news);
        }
    }

    fn flush(&mut self, news: &mut Vec<Event>) {
        while let Some(berth) = self.dirty.pop_first() {
            self.write(berth, news);
        }
    }

    fn write(&mut self, berth: ConnectionId, news: &mut Vec<Event>) {
        let Some(link) = self.links.get_mut(&berth).filter(|link| link.open) else { return };
        while !link.output.is_empty() {
            match link.stream.write(link.output.data()) {
                Ok(0) => return self.gone(berth, "write to", ErrorKind::WriteZero.into(), news),
                Ok(count) => link.output.consume(count),
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(why) if why.kind() == ErrorKind::WouldBlock => return,
                Err(why) => return self.gone(berth, "write to", why, news),
            }
        }
        link.output.shrink(READ);
        if link.closing {
            self.close(berth);
        }
    }

    fn read(&mut self, berth: ConnectionId, news: &mut Vec<Event>) {
        let ahead = self.facts.ahead;
        let Some(link) = self.links.get_mut(&berth) else { return };
        if !link.open || link.ended {
            return;
        }
        let mut came = false;
        loop {
            if link.input.len() >= ahead {
                self.more.insert(berth);
                break;
            }
            let room = link.input.space(READ.min(ahead));
            let size = room.len();
            match link.stream.read(room) {
                Ok(0) => {
                    link.ended = true;
                    if came {
                        news.push(Event::Came { berth });
                    }
                    news.push(Event::Ended { berth });
                    return;
                }
                Ok(count) => {
                    link.input.filled(count);
                    came = true;
                    // A short read has emptied the socket; what comes later is told anew. Guards against an end or a
                    // reset that came with the bytes, of which nothing more is told.
                    if count < size && !link.hung {
                        break;
                    }
                }
                Err(why) if why.kind() == ErrorKind::Interrupted => {}
                Err(why) if why.kind() == ErrorKind::WouldBlock => break,
                Err(why) => {
                    if came {
                        news.push(Event::Came { berth });
                    }
                    return self.gone(berth, "read from", why, news);
                }
            }
        }
        if came {
            news.push(Event::Came { berth });
        }
    }

    /// The time as the loop's clock has it.
    pub fn clock(&self) -> Instant {
        Instant::now()
    }
}
