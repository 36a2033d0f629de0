//! Input and output of clients' connections: reading, parsing of requests, and writing.

use crate::client::ClientState;
use crate::clients::Clients;
use crate::context::Context;
use crate::events::{ClientId, Timer};
use crate::tcp_connection::ReadOutcome;
use calloop::Readiness;
use fernknot_protocol::http::CONTINUE;

/// Whether a connection can proceed without waiting for its socket or the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Progress {
    Continue,
    Wait,
}

impl Clients {
    /// Handles the readiness of a connection.
    pub fn client_ready(&mut self, context: &mut Context, id: ClientId, readiness: Readiness) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.tcp.is_readable |= readiness.readable || readiness.error;
        if client.tcp.read_closed && client.tcp.check_connected().is_err() {
            return self.client_disconnected(context, id);
        }
        self.read_client(context, id);
    }

    /// Continues reads that the last iteration stopped at its limit.
    pub fn read_more_clients(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.readable_connections) {
            self.read_client(context, id);
        }
    }

    /// Writes the output buffers filled in this iteration.
    pub fn flush_clients(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.unflushed_connections) {
            self.advance(context, id);
        }
    }

    /// Reads the available input, up to the limit of an iteration, and advances the connection.
    pub fn read_client(&mut self, context: &mut Context, id: ClientId) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        let was_idle = client.is_idle();
        let outcome = client.tcp.fill(context.limits.read_ahead_bytes);
        // The request's time-out runs from its first byte, so that a client cannot extend it by sending slowly.
        if was_idle && !client.is_idle() {
            client.last_progress = context.now;
        }
        if client.state == ClientState::Closing {
            client.discard_input();
        }
        match outcome {
            Err(_) => return self.client_disconnected(context, id),
            // While a response is pending, no more than the buffer's limit is read.
            Ok(ReadOutcome::MoreAvailable)
                if matches!(client.state, ClientState::Reading | ClientState::Closing) =>
            {
                self.readable_connections.push(id);
            }
            Ok(_) => {}
        }
        self.advance(context, id);
    }

    /// Advances a connection until it has to wait.
    fn advance(&mut self, context: &mut Context, id: ClientId) {
        while let Some(client) = self.by_id.get(&id) {
            let progress = match client.state {
                ClientState::Reading => self.read_request(context, id),
                ClientState::Pending(_) => self.probe_if_read_closed(context, id),
                ClientState::Writing => self.write_response(context, id),
                ClientState::Closing => self.close_if_read_closed(context, id),
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
            Ok(None) if client.tcp.read_closed && client.is_idle() => {
                self.remove_client(context, id);
                Progress::Wait
            }
            Ok(None) if client.tcp.read_closed => {
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

    /// Handles a connection without a complete request: shrinks the buffers, sets the timer of a request that has begun
    /// to arrive, and sends an interim response if the client waits for it.
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
            self.client_disconnected(context, id);
            return Progress::Wait;
        }
        Progress::Continue
    }

    /// Sends an interim response to a client that has stopped sending. If the client has closed the connection, writing
    /// fails; a client that still reads ignores the interim response.
    fn probe_if_read_closed(&mut self, context: &mut Context, id: ClientId) -> Progress {
        let Some(client) = self.by_id.get_mut(&id) else { return Progress::Wait };
        if client.tcp.read_closed && !client.is_http_1_0 && !std::mem::replace(&mut client.was_probed, true) {
            client.tcp.output.push(CONTINUE);
        }
        if client.tcp.flush().is_err() {
            self.client_disconnected(context, id);
        }
        Progress::Wait
    }

    fn write_response(&mut self, context: &mut Context, id: ClientId) -> Progress {
        let Some(client) = self.by_id.get_mut(&id) else { return Progress::Wait };
        let Ok(count) = client.tcp.flush() else {
            self.client_disconnected(context, id);
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
            if client.tcp.is_readable && !client.tcp.read_closed {
                self.readable_connections.push(id);
            }
        } else {
            self.shut_down_client(context, id);
        }
        Progress::Continue
    }

    fn close_if_read_closed(&mut self, context: &mut Context, id: ClientId) -> Progress {
        if self.by_id.get(&id).is_some_and(|client| client.tcp.read_closed) {
            self.remove_client(context, id);
        }
        Progress::Wait
    }
}
