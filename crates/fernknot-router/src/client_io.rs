//! Bytes of clients: read, parsed into requests, and written.

use crate::client::ClientState;
use crate::clients::Clients;
use crate::context::Context;
use crate::events::{ClientId, Timer};
use crate::tcp_connection::ReadOutcome;
use calloop::Readiness;
use fernknot_protocol::http::CONTINUE;

/// Whether a connection can go on without waiting for its socket or the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Continue,
    Wait,
}

impl Clients {
    /// The event loop has found a connection ready.
    pub fn client_ready(&mut self, context: &mut Context, id: ClientId, readiness: Readiness) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.tcp.is_readable |= readiness.readable || readiness.error;
        if client.tcp.has_ended && client.tcp.connected().is_err() {
            return self.client_gone(context, id);
        }
        self.read_client(context, id);
    }

    /// Reads on where the last turn stopped for its limit.
    pub fn read_more_clients(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.readable) {
            self.read_client(context, id);
        }
    }

    /// Writes what this turn has put into output buffers.
    pub fn flush_clients(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.unflushed) {
            self.advance(context, id);
        }
    }

    /// Reads what has come, up to the limit of a turn, and goes on with the connection.
    pub fn read_client(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        let was_idle = client.is_idle();
        let outcome = client.tcp.fill(context.limits.read_ahead_bytes);
        // Guards against requests that come byte by byte without end: their time runs from the first.
        if was_idle && !client.is_idle() {
            client.last_progress = context.now;
        }
        if client.state == ClientState::Closing {
            client.discard_input();
        }
        match outcome {
            Err(_) => return self.client_gone(context, id),
            // While a response is awaited no more is read than the buffer's limit.
            Ok(ReadOutcome::MoreAvailable)
                if matches!(client.state, ClientState::Reading | ClientState::Closing) =>
            {
                self.readable.push(id);
            }
            Ok(_) => {}
        }
        self.advance(context, id);
    }

    /// Goes on with a connection as far as it will go now.
    fn advance(&mut self, context: &mut Context, id: ClientId) {
        while let Some(client) = self.by_id.get(&id) {
            let progress = match client.state {
                ClientState::Reading => self.read_request(context, id),
                ClientState::Pending(_) => self.probe_if_ended(context, id),
                ClientState::Writing => self.write_response(context, id),
                ClientState::Closing => self.close_if_ended(context, id),
            };
            if progress == Progress::Wait {
                return;
            }
        }
    }

    fn read_request(&mut self, context: &mut Context, id: ClientId) -> Progress {
        let Some(client) = self.by_id.get_mut(&id) else { return Progress::Wait };
        match client.reader.read(&mut client.tcp.input, &context.limits) {
            Ok(Some(request)) => {
                self.handle_request(context, id, request);
                Progress::Continue
            }
            Ok(None) if client.tcp.has_ended && client.is_idle() => {
                self.drop_client(context, id);
                Progress::Wait
            }
            Ok(None) if client.tcp.has_ended => {
                self.reject_request(context, id, 400, "request cut off");
                Progress::Continue
            }
            Ok(None) => self.await_request(context, id),
            Err(error) => {
                self.reject_request(context, id, error.status, error.reason);
                Progress::Continue
            }
        }
    }

    /// No request is complete: shrinks the buffers, bounds the time of the one that has begun, and sends an interim
    /// response if the client waits for it.
    fn await_request(&mut self, context: &mut Context, id: ClientId) -> Progress {
        let Some(client) = self.by_id.get_mut(&id) else { return Progress::Wait };
        client.tcp.input.shrink(context.limits.idle_buffer_bytes);
        client.tcp.output.shrink(context.limits.idle_buffer_bytes);
        let deadline = client.last_progress + context.limits.request_timeout;
        if !client.is_idle() && deadline < client.timer_at {
            context.cancel_timer(client.timer_at, Timer::Client(id));
            client.timer_at = deadline;
            context.set_timer(deadline, Timer::Client(id));
        }
        if !client.reader.take_expects_continue() {
            return Progress::Wait;
        }
        client.tcp.output.push(CONTINUE);
        if client.tcp.flush().is_err() {
            self.client_gone(context, id);
            return Progress::Wait;
        }
        Progress::Continue
    }

    /// The client has finished sending: whether it has gone too shows only when it is sent something, so it is sent an
    /// interim response, which one that still listens ignores.
    fn probe_if_ended(&mut self, context: &mut Context, id: ClientId) -> Progress {
        let Some(client) = self.by_id.get_mut(&id) else { return Progress::Wait };
        if client.tcp.has_ended && !client.is_http_1_0 && !std::mem::replace(&mut client.was_probed, true) {
            client.tcp.output.push(CONTINUE);
        }
        if client.tcp.flush().is_err() {
            self.client_gone(context, id);
        }
        Progress::Wait
    }

    fn write_response(&mut self, context: &mut Context, id: ClientId) -> Progress {
        let Some(client) = self.by_id.get_mut(&id) else { return Progress::Wait };
        let Ok(count) = client.tcp.flush() else {
            self.client_gone(context, id);
            return Progress::Wait;
        };
        if count > 0 {
            client.last_progress = context.now;
        }
        if !client.tcp.output.is_empty() {
            return Progress::Wait;
        }
        if client.keeps_connection {
            client.state = ClientState::Reading;
            if client.tcp.is_readable && !client.tcp.has_ended {
                self.readable.push(id);
            }
        } else {
            self.end_client(context, id);
        }
        Progress::Continue
    }

    fn close_if_ended(&mut self, context: &mut Context, id: ClientId) -> Progress {
        if self.by_id.get(&id).is_some_and(|client| client.tcp.has_ended) {
            self.drop_client(context, id);
        }
        Progress::Wait
    }
}
