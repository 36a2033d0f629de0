//! Clients' connections: requests in, final answers out.

use crate::core::Core;
use crate::ids::{ClientId, Source, Timer};
use crate::link::{Filled, Handle, Link, watch};
use calloop::{Readiness, RegistrationToken};
use fernknot::interface::*;
use fernknot_engine::{AskerId, Ended, Verdict};
use fernknot_protocol::http::{Answer, GO_ON, Request, RequestReader};
use fernknot_protocol::multiget;
use slog::{debug, warn};
use std::collections::HashMap;
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;

/// Steps in which a stopping router hands over its connections.
const HAND_OVERS: u64 = 32;

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Awaits a request or its rest.
    Reading,
    /// Its multiget is with the module.
    Held(MultigetId),
    /// Its answer is being written.
    Writing,
    /// It has been ended and waits for the client to close, so that no answer is destroyed.
    Ending,
}

struct Client {
    link: Link,
    reader: RequestReader,
    stage: Stage,
    /// Of the request in hand: the connection goes on after it, and it is HTTP/1.0.
    keep: bool,
    old: bool,
    /// It has brought a request.
    asked: bool,
    /// When its request began to come, or bytes of its answer last went.
    moved: Nanos,
    due: Nanos,
    /// It was sent an interim answer to learn whether it has gone or only finished sending.
    sounded: bool,
}

impl Client {
    fn is_idle(&self) -> bool {
        self.stage == Stage::Reading && self.link.input.is_empty() && !self.reader.is_open()
    }
}

pub struct Clients {
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    handle: Handle,
    by_id: HashMap<ClientId, Client>,
    next: u64,
    /// Connections wait because there are too many.
    paused: bool,
    /// Clients with more to read, and with something to write.
    more: Vec<ClientId>,
    dirty: Vec<ClientId>,
}

impl Clients {
    pub fn new(handle: &Handle, listen: SocketAddr) -> Result<Clients> {
        let listener = Rc::new(TcpListener::bind(listen)?);
        listener.set_nonblocking(true)?;
        let token = watch(handle, listener.clone(), Source::Listener)?;
        Ok(Clients {
            listener: Some((listener, token)),
            handle: handle.clone(),
            by_id: HashMap::new(),
            next: 0,
            paused: false,
            more: Vec::new(),
            dirty: Vec::new(),
        })
    }

    pub fn has_more(&self) -> bool {
        !self.more.is_empty()
    }

    pub fn stop_listening(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.handle.remove(token);
        }
    }

    /// Whether any connection is between a request's first byte and the answer's last.
    pub fn are_busy(&self) -> bool {
        self.by_id.values().any(|client| !client.is_idle())
    }
}

impl Clients {
    /// Accepts what waits, up to the limit; there, idle connections make room.
    pub fn accept(&mut self, core: &mut Core) {
        while let Some(listener) = self.listener.as_ref().map(|(listener, _)| listener.clone()) {
            while self.by_id.len() >= core.limits.max_clients {
                if !self.end_oldest_idle(core) {
                    self.paused = true;
                    return;
                }
            }
            match listener.accept() {
                Ok((stream, _)) => {
                    let id = ClientId(self.next);
                    self.next += 1;
                    match Link::new(&core.handle, stream, Source::Client(id)) {
                        Ok(link) => self.add_client(core, id, link),
                        Err(error) => warn!(core.log, "a client is not served"; "why" => error.to_string()),
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The client went before it was accepted.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => {
                    // Guards against a loop that spins while descriptors have run out.
                    core.counters.client_connections_refused += 1;
                    warn!(core.log, "accepting waits"; "why" => error.to_string());
                    core.timers.insert((core.now + core.limits.accept_retry_delay, Timer::Accept));
                    return;
                }
            }
        }
    }

    fn add_client(&mut self, core: &mut Core, id: ClientId, link: Link) {
        core.counters.client_connections += 1;
        let due = core.now + core.limits.request_timeout;
        core.timers.insert((due, Timer::Client(id)));
        let client = Client {
            link,
            reader: RequestReader::default(),
            stage: Stage::Reading,
            keep: true,
            old: false,
            asked: false,
            moved: core.now,
            due,
            sounded: false,
        };
        self.by_id.insert(id, client);
        self.read_client(core, id);
    }

    /// False if none is idle. Guards the first request of a new connection, which would fail; any other is
    /// sent once more: those that have asked go first.
    fn end_oldest_idle(&mut self, core: &mut Core) -> bool {
        let idle = self.by_id.iter().filter(|(_, client)| client.is_idle());
        let Some((_, _, id)) = idle.map(|(id, client)| (!client.asked, client.moved, *id)).min() else {
            return false;
        };
        if self.is_idle_still(core, id) {
            self.drop_client(core, id);
        }
        true
    }

    /// Reads once more of a connection that is to be ended. Guards a request that has just come.
    fn is_idle_still(&mut self, core: &mut Core, id: ClientId) -> bool {
        if let Some(client) = self.by_id.get_mut(&id) {
            client.link.readable = true;
            self.read_client(core, id);
        }
        self.by_id.get(&id).is_some_and(Client::is_idle)
    }

    fn drop_client(&mut self, core: &mut Core, id: ClientId) {
        let Some(client) = self.by_id.remove(&id) else { return };
        core.timers.remove(&(client.due, Timer::Client(id)));
        if std::mem::take(&mut self.paused) {
            core.timers.insert((core.now, Timer::Accept));
        }
    }

    /// The client has closed or reset its connection.
    fn client_gone(&mut self, core: &mut Core, id: ClientId) {
        let Some(client) = self.by_id.get(&id) else { return };
        match client.stage {
            Stage::Held(multiget) => {
                core.engine.lapsed(core.now, multiget);
            }
            Stage::Writing => core.counters.answers_unread += 1,
            Stage::Reading | Stage::Ending => {}
        }
        self.drop_client(core, id);
    }

    pub fn client_ready(&mut self, core: &mut Core, id: ClientId, readiness: Readiness) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.link.readable |= readiness.readable || readiness.error;
        if client.link.ended && client.link.connected().is_err() {
            return self.client_gone(core, id);
        }
        self.read_client(core, id);
    }

    pub fn read_more_clients(&mut self, core: &mut Core) {
        for id in std::mem::take(&mut self.more) {
            self.read_client(core, id);
        }
    }

    fn read_client(&mut self, core: &mut Core, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        let was_idle = client.is_idle();
        let filled = client.link.fill(core.limits.read_ahead_bytes);
        // Guards against requests that come byte by byte without end: their time runs from the first.
        if was_idle && !client.is_idle() {
            client.moved = core.now;
        }
        if client.stage == Stage::Ending {
            let left = client.link.input.len();
            client.link.input.consume(left);
        }
        match filled {
            Err(_) => return self.client_gone(core, id),
            // While an answer is awaited no more is read than the buffer's limit.
            Ok(Filled::Some) if matches!(client.stage, Stage::Reading | Stage::Ending) => {
                self.more.push(id);
            }
            Ok(_) => {}
        }
        self.advance(core, id);
    }

    /// Goes on with a connection as far as it will go now.
    fn advance(&mut self, core: &mut Core, id: ClientId) {
        while let Some(client) = self.by_id.get_mut(&id) {
            match client.stage {
                Stage::Reading => match client.reader.read(&mut client.link.input, &core.limits) {
                    Ok(Some(request)) => self.request(core, id, request),
                    Ok(None) if client.link.ended && client.is_idle() => return self.drop_client(core, id),
                    Ok(None) if client.link.ended => {
                        core.counters.bad_requests += 1;
                        client.keep = false;
                        self.answer(core, id, 400, None, b"request cut off");
                    }
                    Ok(None) => {
                        client.link.input.shrink(core.limits.idle_buffer_bytes);
                        client.link.output.shrink(core.limits.idle_buffer_bytes);
                        let due = client.moved + core.limits.request_timeout;
                        if !client.is_idle() && due < client.due {
                            core.timers.remove(&(client.due, Timer::Client(id)));
                            client.due = due;
                            core.timers.insert((due, Timer::Client(id)));
                        }
                        if !client.reader.wants_leave() {
                            return;
                        }
                        client.link.output.push(GO_ON);
                        if client.link.flush().is_err() {
                            return self.client_gone(core, id);
                        }
                    }
                    Err(bad) => {
                        core.counters.bad_requests += 1;
                        client.keep = false;
                        self.answer(core, id, bad.status, None, bad.why.as_bytes());
                    }
                },
                Stage::Held(_) => return self.sound(core, id),
                Stage::Writing => match client.link.flush() {
                    Err(_) => return self.client_gone(core, id),
                    Ok(count) => {
                        client.moved = if count > 0 { core.now } else { client.moved };
                        if !client.link.output.is_empty() {
                            return;
                        }
                        if client.keep {
                            client.stage = Stage::Reading;
                            if client.link.readable && !client.link.ended {
                                self.more.push(id);
                            }
                        } else {
                            self.end_client(core, id);
                        }
                    }
                },
                Stage::Ending if client.link.ended => return self.drop_client(core, id),
                Stage::Ending => return,
            }
        }
    }

    /// The client has finished sending: whether it has gone too shows only when it is sent
    /// something, so it is sent an interim answer, which one that still listens passes over.
    fn sound(&mut self, core: &mut Core, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        if client.link.ended && !client.old && !std::mem::replace(&mut client.sounded, true) {
            client.link.output.push(GO_ON);
        }
        if client.link.flush().is_err() {
            self.client_gone(core, id);
        }
    }

    /// Ends a connection without destroying what is still on its way to the client.
    fn end_client(&mut self, core: &mut Core, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.link.finish();
        client.stage = Stage::Ending;
        let left = client.link.input.len();
        client.link.input.consume(left);
        core.timers.remove(&(client.due, Timer::Client(id)));
        client.due = core.now + core.limits.close_timeout;
        core.timers.insert((client.due, Timer::Client(id)));
        self.more.push(id);
    }

    /// Whether a stopping router no longer keeps a connection. Guards clients that have no other router
    /// yet, where one stops as another comes back, and the others against coming all at once.
    fn hands_over(&self, core: &Core, id: ClientId) -> bool {
        let share = (id.0 % HAND_OVERS) as f64 / HAND_OVERS as f64;
        let left = core.limits.final_response_timeout + core.limits.connection_handover.times(1.0 - share);
        core.lingered || core.stop_by.is_some_and(|by| core.now + left >= by)
    }

    /// Ends those connections between requests that are handed over by now. Guards the first request of a
    /// client that came after the order to stop: it has had no other router to go to, so it may ask once.
    pub fn end_idle_clients(&mut self, core: &mut Core) {
        let told =
            core.stop_by.map(|by| by - core.limits.final_response_timeout - core.limits.shutdown_linger);
        let new = |client: &Client| !core.lingered && !client.asked && Some(client.moved) >= told;
        let idle = self
            .by_id
            .iter()
            .filter(|(id, client)| client.is_idle() && !new(client) && self.hands_over(core, **id));
        let ids: Vec<ClientId> = idle.map(|(id, _)| *id).collect();
        for id in ids {
            if self.is_idle_still(core, id) {
                self.end_client(core, id);
            }
        }
    }

    pub fn client_due(&mut self, core: &mut Core, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        let still = match client.stage {
            // Guards against those that connect and say nothing.
            Stage::Reading if client.is_idle() && client.asked => core.limits.client_idle_timeout,
            Stage::Reading => core.limits.request_timeout,
            Stage::Writing => core.limits.response_stall_timeout,
            Stage::Held(_) => Nanos(u64::MAX),
            Stage::Ending => return self.drop_client(core, id),
        };
        let end = client.moved + still;
        let stalls = core.now + core.limits.response_stall_timeout;
        client.due = if end > core.now { end.min(stalls) } else { stalls };
        core.timers.insert((client.due, Timer::Client(id)));
        if end > core.now {
            // It has moved since this was set.
        } else if client.is_idle() {
            self.end_client(core, id);
        } else if client.stage == Stage::Reading {
            core.counters.bad_requests += 1;
            client.keep = false;
            self.answer(core, id, 408, None, b"request never came whole");
        } else {
            self.client_gone(core, id);
        }
    }

    fn request(&mut self, core: &mut Core, id: ClientId, request: Request) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.keep = request.keep;
        client.old = request.old;
        client.asked = true;
        match (request.method.as_str(), request.path()) {
            ("HEAD", _) => {
                // Its answer has no body, whose length a head would tell.
                client.keep = false;
                self.answer(core, id, 405, None, b"");
            }
            ("GET", "/up") => {
                let up = core.has_list && core.stop_by.is_none();
                let (status, words) = if up { (200, "up\n") } else { (503, "not ready\n") };
                self.answer(core, id, status, None, words.as_bytes());
            }
            ("GET", "/counters") => {
                let text = core.counters_text();
                self.answer(core, id, 200, None, text.as_bytes());
            }
            ("GET", "/fleet") if core.fleet.is_some() => {
                let text = core.fleet.as_ref().map(|fleet| fleet.text(core.now)).unwrap_or_default();
                self.answer(core, id, 200, None, text.as_bytes());
            }
            _ => match multiget::parse_multiget(&request, &core.facts, &core.limits) {
                // Guards a client's open request against another's under its id: nodes know no other name.
                Ok(asked) if core.engine.table.is_open(&asked.id) => {
                    core.counters.bad_requests += 1;
                    self.answer(core, id, 409, None, b"a request of this id is open");
                }
                Ok(asked) => self.take(core, id, asked),
                Err(error) => {
                    core.counters.bad_requests += 1;
                    self.answer(core, id, error.status(), None, error.to_string().as_bytes());
                }
            },
        }
    }

    fn take(&mut self, core: &mut Core, id: ClientId, asked: multiget::Asked) {
        // Guards what comes late in a stop against the end of the process.
        let client_end = (core.now + asked.wait).min(core.stop_by.unwrap_or(Nanos(u64::MAX)));
        let multiget = core.engine.take(core.now, AskerId(id.0), client_end, asked);
        if let Some(client) = self.by_id.get_mut(&id) {
            client.stage = Stage::Held(multiget);
            client.sounded = false;
        }
    }

    /// Puts an answer on its way.
    fn answer(&mut self, core: &mut Core, id: ClientId, status: u16, wait: Option<f64>, body: &[u8]) {
        let hands_over = self.hands_over(core, id);
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.keep &= !hands_over;
        let kind = if status == 200 && body.starts_with(b"{") { "application/json" } else { "text/plain" };
        Answer { status, kind, wait, keep: client.keep, old: client.old }
            .write(&mut client.link.output, body);
        client.stage = Stage::Writing;
        client.moved = core.now;
        self.dirty.push(id);
    }

    /// Gives the final answer to a multiget that is held.
    pub fn give(&mut self, core: &mut Core, asker: AskerId, verdict: Verdict, ended: Ended) {
        let id = ClientId(asker.0);
        if ended != Ended::Plain && !matches!(verdict, Verdict::Settled { .. }) {
            debug!(core.log, "a query in two phases is given up"; "in" => ?ended);
        }
        match verdict {
            Verdict::Settled { whole, found, blocks, .. } => {
                let values = found.iter().map(|(shard, value)| (*shard, value.as_str()));
                let body = multiget::response_body(whole, values, blocks.as_deref());
                // Guards clients that hold to the protocol's limit, and this router's memory.
                if body.len() > core.limits.body {
                    core.counters.broken_off += 1;
                    return self.answer(core, id, 502, None, b"answer too large");
                }
                match whole {
                    true => core.counters.settled_whole += 1,
                    false => core.counters.settled_in_part += 1,
                }
                self.answer(core, id, 200, None, &body);
            }
            Verdict::Dismissed { wait } => {
                core.counters.dismissed += 1;
                self.answer(core, id, 503, wait.map(|wait| wait.as_millis() / 1e3), b"dismissed");
            }
            Verdict::BrokenOff => {
                core.counters.broken_off += 1;
                self.answer(core, id, 502, None, b"broken off");
            }
        }
    }

    pub fn flush_clients(&mut self, core: &mut Core) {
        for id in std::mem::take(&mut self.dirty) {
            self.advance(core, id);
        }
    }
}
