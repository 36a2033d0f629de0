//! Requests of clients and their responses.

use crate::client::ClientState;
use crate::clients::Clients;
use crate::context::Context;
use crate::events::ClientId;
use fernknot::interface::Nanos;
use fernknot_engine::{RequesterId, Stage, Verdict};
use fernknot_protocol::http::{Request, ResponseHead};
use fernknot_protocol::multiget;
use slog::debug;

const MILLIS_PER_SECOND: f64 = 1e3;

impl Clients {
    /// Answers a request, or submits its multiget to the engine.
    pub fn handle_request(&mut self, context: &mut Context, id: ClientId, request: Request) {
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.keeps_connection = request.keeps_connection;
        client.is_http_1_0 = request.is_http_1_0;
        client.has_requested = true;
        match (request.method.as_str(), request.path()) {
            ("HEAD", _) => {
                // The response to HEAD has no body although its Content-Length announces one, so the connection ends.
                client.keeps_connection = false;
                self.respond(context, id, 405, None, b"");
            }
            ("GET", "/up") => {
                let is_ready = context.has_full_list && context.stop_deadline.is_none();
                let (status, body) = if is_ready { (200, "up\n") } else { (503, "not ready\n") };
                self.respond(context, id, status, None, body.as_bytes());
            }
            ("GET", "/counters") => {
                let text = context.counters_text();
                self.respond(context, id, 200, None, text.as_bytes());
            }
            ("GET", "/fleet") if context.membership.is_some() => {
                let membership = context.membership.as_ref();
                let text =
                    membership.map(|membership| membership.status_text(context.now)).unwrap_or_default();
                self.respond(context, id, 200, None, text.as_bytes());
            }
            _ => self.handle_multiget(context, id, &request),
        }
    }

    fn handle_multiget(&mut self, context: &mut Context, id: ClientId, request: &Request) {
        match multiget::parse_multiget(request, &context.settings, &context.limits) {
            // Nodes identify a request by its id only, so two open requests must not have the same id.
            Ok(multiget_request) if context.engine.table.is_awaiting_answer(&multiget_request.id) => {
                context.counters.bad_requests += 1;
                self.respond(context, id, 409, None, b"a request of this id is open");
            }
            Ok(multiget_request) => self.submit_multiget(context, id, multiget_request),
            Err(error) => {
                context.counters.bad_requests += 1;
                self.respond(context, id, error.status(), None, error.to_string().as_bytes());
            }
        }
    }

    fn submit_multiget(
        &mut self,
        context: &mut Context,
        id: ClientId,
        multiget_request: multiget::MultigetRequest,
    ) {
        // During shutdown the request must end before the process does.
        let client_end =
            (context.now + multiget_request.timeout).min(context.stop_deadline.unwrap_or(Nanos(u64::MAX)));
        let multiget = context.engine.submit(context.now, RequesterId(id.0), client_end, multiget_request);
        if let Some(client) = self.by_id.get_mut(&id) {
            client.state = ClientState::Pending(multiget);
            client.was_probed = false;
        }
    }

    /// Answers a request that cannot be parsed, and ends the connection after the response.
    pub fn reject_request(&mut self, context: &mut Context, id: ClientId, status: u16, reason: &str) {
        context.counters.bad_requests += 1;
        if let Some(client) = self.by_id.get_mut(&id) {
            client.keeps_connection = false;
        }
        self.respond(context, id, status, None, reason.as_bytes());
    }

    /// Writes a response to the output buffer.
    fn respond(
        &mut self,
        context: &mut Context,
        id: ClientId,
        status: u16,
        retry_after_s: Option<f64>,
        body: &[u8],
    ) {
        let is_handed_over = self.is_handed_over(context, id);
        let Some(client) = self.by_id.get_mut(&id) else { return };
        client.keeps_connection &= !is_handed_over;
        let is_json = status == 200 && body.starts_with(b"{");
        let head = ResponseHead {
            status,
            content_type: if is_json { "application/json" } else { "text/plain" },
            retry_after_s,
            keeps_connection: client.keeps_connection,
            is_http_1_0: client.is_http_1_0,
        };
        head.write(&mut client.tcp.output, body);
        client.state = ClientState::Writing;
        client.last_progress = context.now;
        self.unflushed_connections.push(id);
    }

    /// Sends the final answer to a pending multiget.
    pub fn answer(&mut self, context: &mut Context, requester: RequesterId, verdict: Verdict, stage: Stage) {
        let id = ClientId(requester.0);
        if stage != Stage::Plain && !matches!(verdict, Verdict::Completed { .. }) {
            debug!(context.log, "two-phase query ended without an answer"; "in" => ?stage);
        }
        match verdict {
            Verdict::Completed { is_complete, values, blocks, .. } => {
                let values = values.iter().map(|(shard, value)| (*shard, value.as_str()));
                let body = multiget::response_body(is_complete, values, blocks.as_deref());
                self.respond_with_values(context, id, is_complete, &body);
            }
            Verdict::Rejected { retry_after } => {
                context.counters.dismissed += 1;
                let retry_after_s =
                    retry_after.map(|retry_after| retry_after.as_millis() / MILLIS_PER_SECOND);
                self.respond(context, id, 503, retry_after_s, b"dismissed");
            }
            Verdict::Failed => {
                context.counters.broken_off += 1;
                self.respond(context, id, 502, None, b"broken off");
            }
        }
    }

    fn respond_with_values(&mut self, context: &mut Context, id: ClientId, is_complete: bool, body: &[u8]) {
        // The protocol limits the size of a body, and the limit bounds the memory of this router.
        if body.len() > context.limits.max_body_bytes {
            context.counters.broken_off += 1;
            return self.respond(context, id, 502, None, b"answer too large");
        }
        match is_complete {
            true => context.counters.settled_whole += 1,
            false => context.counters.settled_in_part += 1,
        }
        self.respond(context, id, 200, None, body);
    }
}
