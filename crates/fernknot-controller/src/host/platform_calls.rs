//! Calls to the platform over HTTP/1.1, each over a connection of its own.

use crate::host::connections::{Connection, ConnectionRole, PlatformCall};
use crate::host::state::Host;
use fernknot::interface::Nanos;
use fernknot_net::{Buffer, ConnectionId};
use fernknot_protocol::http::ResponseReader;
use fernknot_telemetry::component;
use fernknot_usage_reporting::{CallId, CallOutcome, UsageCall};
use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

impl Host {
    /// Passes the time of day to the controller.
    pub(super) fn update_time_of_day(&mut self, now: Nanos) {
        // A clock before 1970 counts as 1970.
        let elapsed = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let unix_ms = u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX);
        self.controller.set_time_of_day(now, unix_ms);
    }

    pub(super) fn start_platform_call(&mut self, now: Nanos, call: CallId) {
        let Some(platform) = &self.settings.platform_api else { return };
        match self.event_loop.connect(platform.address) {
            Ok(id) => {
                let role = ConnectionRole::Platform(PlatformCall { call, reader: ResponseReader::default() });
                self.connections.add(id, role, now);
            }
            Err(error) => {
                log::warn!(target: component::USAGE, "cannot call the platform: {error}; retrying");
                self.controller.platform_call_finished(now, call, CallOutcome::Unclear);
            }
        }
    }

    pub(super) fn abort_platform_call(&mut self, call: CallId) {
        if let Some(id) = self.connections.platform_call(call) {
            self.drop_connection(id);
        }
    }

    /// Writes the request once its connection is open, if the controller may still make the call.
    pub(super) fn write_platform_call(&mut self, now: Nanos, id: ConnectionId, call: CallId) {
        let Some(content) = self.controller.take_platform_call(now, call) else {
            return self.drop_connection(id);
        };
        if let Some(output) = self.event_loop.output(id) {
            let platform = self.settings.platform_api.as_ref();
            let host = platform.map_or_else(String::new, |platform| platform.address.to_string());
            write_request(output, &host, &content);
        }
    }

    /// Reads the answer of the platform, if it has been received completely. `is_eof` says that no more follows.
    pub(super) fn read_platform_answer(&mut self, now: Nanos, id: ConnectionId, is_eof: bool) {
        let Some(Connection { role: ConnectionRole::Platform(platform), .. }) = self.connections.get_mut(id)
        else {
            return;
        };
        let Some(input) = self.event_loop.input(id) else { return };
        let outcome = match platform.reader.read(input, is_eof, self.http_settings.limits()) {
            Ok(None) if !is_eof => return,
            Ok(Some(response)) => CallOutcome::Answered(response.status),
            Ok(None) | Err(_) => CallOutcome::Unclear,
        };
        let call = platform.call;
        self.drop_connection(id);
        self.controller.platform_call_finished(now, call, outcome);
    }
}

fn write_request(output: &mut Buffer, host: &str, call: &UsageCall) {
    let UsageCall { holder, token, body, .. } = call;
    let head = format!(
        "POST /usage HTTP/1.1\r\nHost: {host}\r\nDuty-Holder: {holder}\r\nFence-Token: {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
        token.0,
        body.len()
    );
    // Writing to a buffer never fails.
    let _ = output.write_all(head.as_bytes());
    output.push(body);
}
