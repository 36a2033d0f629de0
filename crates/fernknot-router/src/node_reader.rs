//! Frames that come from data nodes.

use crate::context::Context;
use crate::events::{NodeConnectionId, Timer};
use crate::node_connection::WriteState;
use crate::nodes::Nodes;
use crate::tcp_connection::ReadOutcome;
use fernknot::interface::{LoadReport, Outcome};
use fernknot_protocol::frames::{self, CallStatus, Frame};

impl Nodes {
    /// Reads on where the last turn stopped for its limit.
    pub fn read_more_nodes(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.readable) {
            self.read_node(context, id);
        }
    }

    /// Reads what has come, up to the limit of a turn, and takes the frames that are complete.
    pub fn read_node(&mut self, context: &mut Context, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes_before = connection.tcp.input.len();
        // Space for one complete frame, so that it can be read.
        let max_bytes = context.limits.max_frame_bytes + context.limits.read_ahead_bytes;
        let outcome = connection.tcp.fill(max_bytes);
        if connection.tcp.input.len() > bytes_before {
            connection.last_received = context.now;
        }
        let has_ended = connection.tcp.has_ended;
        if !self.read_frames(context, id) {
            return;
        }
        match outcome {
            Ok(ReadOutcome::MoreAvailable) => self.readable.push(id),
            Ok(ReadOutcome::Drained) if !has_ended => self.close_if_retired(context, id),
            _ => self.connection_broken(context, id),
        }
    }

    /// Takes all frames that are complete; false if the connection had to be closed for what came.
    fn read_frames(&mut self, context: &mut Context, id: NodeConnectionId) -> bool {
        let mut has_read = false;
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return false };
            let frame = match frames::read(&mut connection.tcp.input, &context.limits) {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    connection.tcp.input.shrink(context.limits.idle_buffer_bytes);
                    self.watch_incomplete_frame(context, id, has_read);
                    return true;
                }
                Err(error) => {
                    self.protocol_error(context, id, &error.to_string());
                    return false;
                }
            };
            has_read = true;
            match frame {
                Frame::Response { id: part_id, status, load, value } => {
                    if !self.take_response(context, id, &part_id, status, load, value) {
                        self.protocol_error(context, id, "an answer to what was never sent");
                        return false;
                    }
                }
                Frame::HealthCheckResponse => {}
                Frame::Rejected(reason) => {
                    self.protocol_error(context, id, &reason);
                    return false;
                }
            }
        }
    }

    /// Takes a response; false if nothing here asked for it.
    fn take_response(
        &mut self,
        context: &mut Context,
        id: NodeConnectionId,
        part_id: &str,
        status: CallStatus,
        load: LoadReport,
        value: Vec<u8>,
    ) -> bool {
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        connection.last_used = context.now;
        if connection.pending.get(part_id).is_none_or(|attempt| attempt.state == WriteState::Queued) {
            let late = connection.cancelled.iter().position(|cancelled| cancelled == part_id);
            late.map(|index| connection.cancelled.remove(index));
            context.counters.answers_late += u64::from(late.is_some());
            return late.is_some();
        }
        let Some(attempt) = connection.release(part_id).map(|attempt| attempt.id) else { return false };
        match (status, String::from_utf8(value)) {
            (CallStatus::Success, Ok(value)) => {
                self.connection_of.remove(&attempt);
                context.engine.attempt_answered(context.now, attempt.part, attempt.number, value, load);
            }
            // A value that is not UTF-8 cannot be passed on as it is.
            (CallStatus::Success, Err(_)) | (CallStatus::Fault, _) => {
                self.end(context, attempt, Outcome::Error, load);
            }
            (CallStatus::Overload, _) => self.end(context, attempt, Outcome::Rejected, load),
        }
        true
    }

    /// What has come without being a complete frame must become one in time. Guards against a length that swallows all
    /// later answers, and against taking what nobody asked for as the head of one.
    fn watch_incomplete_frame(&mut self, context: &mut Context, id: NodeConnectionId, has_read: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let has_rest = !connection.tcp.input.is_empty();
        if has_rest && connection.pending.is_empty() && connection.cancelled.is_empty() {
            return self.protocol_error(context, id, "more than was asked for");
        }
        if let Some(deadline) = connection.deadline.take_if(|_| has_read || !has_rest) {
            context.cancel_timer(deadline, Timer::NodeConnection(id));
        }
        if has_rest && connection.deadline.is_none() {
            let deadline = context.now + context.limits.frame_timeout;
            connection.deadline = Some(deadline);
            context.set_timer(deadline, Timer::NodeConnection(id));
        }
    }
}
