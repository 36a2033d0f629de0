//! Clients' connections, from accepting to closing.

use crate::client::{Client, ClientState};
use crate::context::Context;
use crate::events::{ClientId, Source, Timer};
use crate::tcp_connection::{EventLoopHandle, TcpConnection, watch};
use calloop::RegistrationToken;
use fernknot::interface::Nanos;
use slog::warn;
use std::collections::HashMap;
use std::io::{ErrorKind, Result};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::rc::Rc;

/// Steps in which a stopping router closes its connections.
const HANDOVER_STEPS: u64 = 32;

/// The listener and all clients' connections.
pub struct Clients {
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    event_loop: EventLoopHandle,
    /// All connections.
    pub by_id: HashMap<ClientId, Client>,
    next_id: u64,
    /// Connections wait to be accepted because there are too many.
    is_paused: bool,
    /// Clients with more to read.
    pub readable: Vec<ClientId>,
    /// Clients with something to write.
    pub unflushed: Vec<ClientId>,
}

impl Clients {
    /// Listens on an address.
    pub fn new(event_loop: &EventLoopHandle, listen: SocketAddr) -> Result<Clients> {
        let listener = Rc::new(TcpListener::bind(listen)?);
        listener.set_nonblocking(true)?;
        let token = watch(event_loop, listener.clone(), Source::Listener)?;
        Ok(Clients {
            listener: Some((listener, token)),
            event_loop: event_loop.clone(),
            by_id: HashMap::new(),
            next_id: 0,
            is_paused: false,
            readable: Vec::new(),
            unflushed: Vec::new(),
        })
    }

    /// Whether a connection has more to read.
    pub fn has_more(&self) -> bool {
        !self.readable.is_empty()
    }

    /// Closes the listener; connections stay.
    pub fn stop_listening(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.event_loop.remove(token);
        }
    }

    /// Whether any connection is between a request's first byte and the response's last.
    pub fn are_busy(&self) -> bool {
        self.by_id.values().any(|client| !client.is_idle())
    }

    /// Accepts what waits, up to the limit; there, idle connections make room.
    pub fn accept(&mut self, context: &mut Context) {
        while let Some(listener) = self.listener.as_ref().map(|(listener, _)| listener.clone()) {
            while self.by_id.len() >= context.limits.max_clients {
                if !self.end_oldest_idle(context) {
                    self.is_paused = true;
                    return;
                }
            }
            match listener.accept() {
                Ok((stream, _)) => self.add_client(context, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The client went before it was accepted.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => {
                    // Guards against a loop that spins while descriptors have run out.
                    context.counters.client_connections_refused += 1;
                    warn!(context.log, "accepting waits"; "why" => error.to_string());
                    context.set_timer(context.now + context.limits.accept_retry_delay, Timer::Accept);
                    return;
                }
            }
        }
    }

    fn add_client(&mut self, context: &mut Context, stream: TcpStream) {
        let id = ClientId(self.next_id);
        self.next_id += 1;
        let tcp = match TcpConnection::new(&context.event_loop, stream, Source::Client(id)) {
            Ok(tcp) => tcp,
            Err(error) => {
                warn!(context.log, "a client is not served"; "why" => error.to_string());
                return;
            }
        };
        context.counters.client_connections += 1;
        let timer_at = context.now + context.limits.request_timeout;
        context.set_timer(timer_at, Timer::Client(id));
        self.by_id.insert(id, Client::new(tcp, context.now, timer_at));
        self.read_client(context, id);
    }

    /// False if none is idle. Guards the first request of a new connection, which would fail; any other is sent once
    /// more: those that have sent one go first.
    fn end_oldest_idle(&mut self, context: &mut Context) -> bool {
        let idle = self.by_id.iter().filter(|(_, client)| client.is_idle());
        let oldest = idle.map(|(id, client)| (!client.has_requested, client.last_progress, *id)).min();
        let Some((_, _, id)) = oldest else { return false };
        if self.is_still_idle(context, id) {
            self.drop_client(context, id);
        }
        true
    }

    /// Reads once more of a connection that is to be ended. Guards a request that has just come.
    fn is_still_idle(&mut self, context: &mut Context, id: ClientId) -> bool {
        if let Some(client) = self.by_id.get_mut(&id) {
            client.tcp.is_readable = true;
            self.read_client(context, id);
        }
        self.by_id.get(&id).is_some_and(Client::is_idle)
    }

    /// Closes a connection and forgets it.
    pub fn drop_client(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.remove(&id) else { return };
        context.cancel_timer(client.timer_at, Timer::Client(id));
        if std::mem::take(&mut self.is_paused) {
            context.set_timer(context.now, Timer::Accept);
        }
    }

    /// The client has closed or reset its connection.
    pub fn client_gone(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get(&id) else { return };
        match client.state {
            ClientState::Pending(multiget) => context.engine.client_gone(context.now, multiget),
            ClientState::Writing => context.counters.answers_unread += 1,
            ClientState::Reading | ClientState::Closing => {}
        }
        self.drop_client(context, id);
    }

    /// Ends a connection without destroying what is still on its way to the client.
    pub fn end_client(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.tcp.finish();
        client.state = ClientState::Closing;
        client.discard_input();
        context.cancel_timer(client.timer_at, Timer::Client(id));
        client.timer_at = context.now + context.limits.close_timeout;
        context.set_timer(client.timer_at, Timer::Client(id));
        self.readable.push(id);
    }

    /// Whether a stopping router no longer keeps a connection. Guards clients that have no other router yet, where one
    /// stops as another comes back, and the others against coming all at once.
    pub fn is_handed_over(&self, context: &Context, id: ClientId) -> bool {
        let step = (id.0 % HANDOVER_STEPS) as f64 / HANDOVER_STEPS as f64;
        let limits = &context.limits;
        let time_left = limits.final_response_timeout + limits.connection_handover.times(1.0 - step);
        context.has_lingered || context.stop_deadline.is_some_and(|end| context.now + time_left >= end)
    }

    /// Ends those connections between requests that are handed over by now. Guards the first request of a client that
    /// came after the signal to stop: it has had no other router to go to, so it may ask once.
    pub fn end_idle_clients(&mut self, context: &mut Context) {
        let limits = &context.limits;
        let stopping_since =
            context.stop_deadline.map(|end| end - limits.final_response_timeout - limits.shutdown_linger);
        let is_new = |client: &Client| {
            !context.has_lingered && !client.has_requested && Some(client.last_progress) >= stopping_since
        };
        let ended = self
            .by_id
            .iter()
            .filter(|(id, client)| client.is_idle() && !is_new(client) && self.is_handed_over(context, **id));
        let ids: Vec<ClientId> = ended.map(|(id, _)| *id).collect();
        for id in ids {
            if self.is_still_idle(context, id) {
                self.end_client(context, id);
            }
        }
    }

    /// The timer of a client is due: it has either made progress since, or is ended.
    pub fn client_timer_due(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        let limits = &context.limits;
        let timeout = match client.state {
            // Guards against those that connect and send nothing.
            ClientState::Reading if client.is_idle() && client.has_requested => limits.client_idle_timeout,
            ClientState::Reading => limits.request_timeout,
            ClientState::Writing => limits.response_stall_timeout,
            ClientState::Pending(_) => Nanos(u64::MAX),
            ClientState::Closing => return self.drop_client(context, id),
        };
        let deadline = client.last_progress + timeout;
        let next_check = context.now + limits.response_stall_timeout;
        let is_in_time = deadline > context.now;
        client.timer_at = if is_in_time { deadline.min(next_check) } else { next_check };
        context.set_timer(client.timer_at, Timer::Client(id));
        if is_in_time {
            // It has made progress since the timer was set.
        } else if client.is_idle() {
            self.end_client(context, id);
        } else if client.state == ClientState::Reading {
            self.reject_request(context, id, 408, "request never came whole");
        } else {
            self.client_gone(context, id);
        }
    }
}
