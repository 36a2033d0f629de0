//! Clients' connections: accepting, idle time-outs and closing.

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

/// Number of steps in which a stopping router closes its connections during `connection_handover`, the last part of
/// `shutdown_linger`.
const HANDOVER_STEPS: u64 = 32;

/// Listener and connections of clients.
pub struct Clients {
    listener: Option<(Rc<TcpListener>, RegistrationToken)>,
    event_loop: EventLoopHandle,
    /// Connections by id.
    pub by_id: HashMap<ClientId, Client>,
    next_id: u64,
    /// Whether accepting is paused because the maximum number of connections is open.
    is_accept_paused: bool,
    /// Connections whose sockets have unread bytes, because reading stopped at the limit of an iteration of the event
    /// loop.
    pub readable_connections: Vec<ClientId>,
    /// Connections with output to write in this iteration.
    pub unflushed_connections: Vec<ClientId>,
}

impl Clients {
    /// Starts listening at an address.
    pub fn new(event_loop: &EventLoopHandle, listen: SocketAddr) -> Result<Clients> {
        let listener = Rc::new(TcpListener::bind(listen)?);
        listener.set_nonblocking(true)?;
        let token = watch(event_loop, listener.clone(), Source::Listener)?;
        Ok(Clients {
            listener: Some((listener, token)),
            event_loop: event_loop.clone(),
            by_id: HashMap::new(),
            next_id: 0,
            is_accept_paused: false,
            readable_connections: Vec::new(),
            unflushed_connections: Vec::new(),
        })
    }

    /// Returns whether the socket of a connection has unread bytes.
    pub fn has_readable(&self) -> bool {
        !self.readable_connections.is_empty()
    }

    /// Closes the listener. Open connections stay.
    pub fn stop_listening(&mut self) {
        if let Some((_, token)) = self.listener.take() {
            self.event_loop.remove(token);
        }
    }

    /// Returns whether any connection is between the first byte of a request and the last byte of its response.
    pub fn has_busy_clients(&self) -> bool {
        self.by_id.values().any(|client| !client.is_idle())
    }

    /// Accepts waiting connections. At the maximum number of connections the oldest idle ones are closed.
    pub fn accept(&mut self, context: &mut Context) {
        while let Some(listener) = self.listener.as_ref().map(|(listener, _)| listener.clone()) {
            while self.by_id.len() >= context.limits.max_clients {
                if !self.close_oldest_idle(context) {
                    self.is_accept_paused = true;
                    return;
                }
            }
            match listener.accept() {
                Ok((stream, _)) => self.add_client(context, stream),
                Err(error) if error.kind() == ErrorKind::WouldBlock => return,
                // The client closed the connection before it was accepted.
                Err(error)
                    if matches!(error.kind(), ErrorKind::ConnectionAborted | ErrorKind::Interrupted) => {}
                Err(error) => {
                    // Without the delay the loop would spin while no file descriptors are left.
                    context.counters.client_connections_refused += 1;
                    warn!(context.log, "cannot accept client connections; retrying after a delay";
                        "why" => error.to_string());
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
                warn!(context.log, "cannot set up a client connection; closing it";
                    "why" => error.to_string());
                return;
            }
        };
        context.counters.client_connections += 1;
        let timer_at = context.now + context.limits.request_timeout;
        context.set_timer(timer_at, Timer::Client(id));
        self.by_id.insert(id, Client::new(tcp, context.now, timer_at));
        self.read_client(context, id);
    }

    /// Closes the connection that has been idle for longest, and returns whether there was one. Connections that have
    /// sent a request are closed first: a client repeats a request that fails on a reused connection, but not the first
    /// request on a new one.
    fn close_oldest_idle(&mut self, context: &mut Context) -> bool {
        let idle = self.by_id.iter().filter(|(_, client)| client.is_idle());
        let oldest = idle.map(|(id, client)| (!client.has_requested, client.last_progress, *id)).min();
        let Some((_, _, id)) = oldest else { return false };
        if self.is_still_idle(context, id) {
            self.remove_client(context, id);
        }
        true
    }

    /// Reads from a connection that is to be closed, and returns whether it is still idle, so that a request that has
    /// just arrived is not lost.
    fn is_still_idle(&mut self, context: &mut Context, id: ClientId) -> bool {
        if let Some(client) = self.by_id.get_mut(&id) {
            client.tcp.is_readable = true;
            self.read_client(context, id);
        }
        self.by_id.get(&id).is_some_and(Client::is_idle)
    }

    /// Closes a connection and removes it.
    pub fn remove_client(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.remove(&id) else { return };
        context.cancel_timer(client.timer_at, Timer::Client(id));
        if std::mem::take(&mut self.is_accept_paused) {
            context.set_timer(context.now, Timer::Accept);
        }
    }

    /// Handles a connection that the client has closed or reset.
    pub fn client_disconnected(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get(&id) else { return };
        match client.state {
            ClientState::Pending(multiget) => context.engine.client_gone(context.now, multiget),
            ClientState::Writing => context.counters.answers_unread += 1,
            ClientState::Reading | ClientState::Closing => {}
        }
        self.remove_client(context, id);
    }

    /// Closes a connection gracefully, so that output in flight still reaches the client.
    pub fn shut_down_client(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.tcp.shut_down_writing();
        client.state = ClientState::Closing;
        client.discard_input();
        context.cancel_timer(client.timer_at, Timer::Client(id));
        client.timer_at = context.now + context.limits.close_timeout;
        context.set_timer(client.timer_at, Timer::Client(id));
        self.readable_connections.push(id);
    }

    /// Returns whether a stopping router no longer keeps a connection. Connections end one by one during
    /// `connection_handover`, so that clients can connect to another router that is just starting, and the other
    /// routers do not receive all clients at once.
    pub fn is_handed_over(&self, context: &Context, id: ClientId) -> bool {
        let step = (id.0 % HANDOVER_STEPS) as f64 / HANDOVER_STEPS as f64;
        let limits = &context.limits;
        let time_left = limits.final_response_timeout + limits.connection_handover.times(1.0 - step);
        context.is_linger_over || context.stop_deadline.is_some_and(|end| context.now + time_left >= end)
    }

    /// Closes the idle connections that a stopping router no longer keeps. A connection accepted after the signal to
    /// stop stays open for its first request, since its client may have no other router to connect to.
    pub fn close_idle_clients(&mut self, context: &mut Context) {
        let limits = &context.limits;
        let stopping_since =
            context.stop_deadline.map(|end| end - limits.final_response_timeout - limits.shutdown_linger);
        let is_new = |client: &Client| {
            !context.is_linger_over && !client.has_requested && Some(client.last_progress) >= stopping_since
        };
        let ended = self
            .by_id
            .iter()
            .filter(|(id, client)| client.is_idle() && !is_new(client) && self.is_handed_over(context, **id));
        let ids: Vec<ClientId> = ended.map(|(id, _)| *id).collect();
        for id in ids {
            if self.is_still_idle(context, id) {
                self.shut_down_client(context, id);
            }
        }
    }

    /// Handles the timer of a connection: sets it again if the connection has made progress, and closes it otherwise.
    pub fn client_timer_due(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        let limits = &context.limits;
        let timeout = match client.state {
            // A client that connects and sends nothing gets the shorter time-out.
            ClientState::Reading if client.is_idle() && client.has_requested => limits.client_idle_timeout,
            ClientState::Reading => limits.request_timeout,
            ClientState::Writing => limits.response_stall_timeout,
            ClientState::Pending(_) => Nanos(u64::MAX),
            ClientState::Closing => return self.remove_client(context, id),
        };
        let deadline = client.last_progress + timeout;
        let next_check = context.now + limits.response_stall_timeout;
        let is_in_time = deadline > context.now;
        client.timer_at = if is_in_time { deadline.min(next_check) } else { next_check };
        context.set_timer(client.timer_at, Timer::Client(id));
        if is_in_time {
            // The connection has made progress since the timer was set.
        } else if client.is_idle() {
            self.shut_down_client(context, id);
        } else if client.state == ClientState::Reading {
            self.reject_request(context, id, 408, "request never came whole");
        } else {
            self.client_disconnected(context, id);
        }
    }
}
