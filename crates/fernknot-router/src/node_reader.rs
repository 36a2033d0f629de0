//! Frames received from data nodes.

use crate::context::Context;
use crate::events::{NodeConnectionId, Timer};
use crate::node_connection::WriteState;
use crate::nodes::Nodes;
use crate::tcp_connection::ReadOutcome;
use fernknot::interface::{LoadReport, Outcome};
use fernknot_protocol::frames::{self, CallStatus, Frame};

impl Nodes {
    /// Continues reads that the last iteration stopped at its limit.
    pub fn read_more_nodes(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.readable_connections) {
            self.read_node(context, id);
        }
    }

    /// Reads the available input, up to the limit of an iteration, and handles the complete frames.
    pub fn read_node(&mut self, context: &mut Context, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let bytes_before = connection.tcp.input.len();
        // The buffer must have space for a complete frame.
        let max_bytes = context.limits.max_frame_bytes + context.limits.read_ahead_bytes;
        let outcome = connection.tcp.fill(max_bytes);
        if connection.tcp.input.len() > bytes_before {
            connection.last_received = context.now;
        }
        let read_closed = connection.tcp.read_closed;
        if !self.read_frames(context, id) {
            return;
        }
        match outcome {
            Ok(ReadOutcome::MoreAvailable) => self.readable_connections.push(id),
            Ok(ReadOutcome::Drained) if !read_closed => self.close_if_retired(context, id),
            _ => self.connection_failed(context, id),
        }
    }

    /// Handles all complete frames. Returns false if a protocol error closed the connection.
    fn read_frames(&mut self, context: &mut Context, id: NodeConnectionId) -> bool {
        let mut has_read_frame = false;
        loop {
            let Some(connection) = self.connections.get_mut(&id) else { return false };
            let frame = match frames::read(&mut connection.tcp.input, &context.limits) {
                Ok(Some(frame)) => frame,
                Ok(None) => {
                    connection.tcp.input.shrink(context.limits.idle_buffer_bytes);
                    self.watch_incomplete_frame(context, id, has_read_frame);
                    return true;
                }
                Err(error) => {
                    self.protocol_error(context, id, &error.to_string());
                    return false;
                }
            };
            has_read_frame = true;
            match frame {
                Frame::Response { id: part_id, status, load, value } => {
                    if !self.handle_response(context, id, &part_id, status, load, value) {
                        self.protocol_error(context, id, "answer to an unknown part id");
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

    /// Handles the answer to a part. Returns false if the part was not requested on this connection.
    fn handle_response(
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
        if connection.pending_attempts.get(part_id).is_none_or(|attempt| attempt.state == WriteState::Queued)
        {
            let late_answer = connection.cancelled_part_ids.iter().position(|cancelled| cancelled == part_id);
            late_answer.map(|index| connection.cancelled_part_ids.remove(index));
            context.counters.answers_late += u64::from(late_answer.is_some());
            return late_answer.is_some();
        }
        let Some(attempt) = connection.take_pending(part_id).map(|attempt| attempt.id) else { return false };
        match (status, String::from_utf8(value)) {
            (CallStatus::Success, Ok(value)) => {
                self.connection_by_attempt.remove(&attempt);
                context.engine.attempt_answered(context.now, attempt.part, attempt.number, value, load);
            }
            // A value that is not UTF-8 cannot be part of the JSON response.
            (CallStatus::Success, Err(_)) | (CallStatus::Fault, _) => {
                self.end_attempt(context, attempt, Outcome::Error, load);
            }
            (CallStatus::Overload, _) => self.end_attempt(context, attempt, Outcome::Rejected, load),
        }
        true
    }

    /// Sets or clears the deadline of an incomplete frame. Without it, a wrong length could make all later answers part
    /// of one frame. Bytes that arrive while no answer is pending are a protocol error.
    fn watch_incomplete_frame(&mut self, context: &mut Context, id: NodeConnectionId, has_read_frame: bool) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let has_incomplete_frame = !connection.tcp.input.is_empty();
        if has_incomplete_frame
            && connection.pending_attempts.is_empty()
            && connection.cancelled_part_ids.is_empty()
        {
            return self.protocol_error(context, id, "unexpected bytes while no answer is pending");
        }
        if let Some(deadline) = connection.deadline.take_if(|_| has_read_frame || !has_incomplete_frame) {
            context.cancel_timer(deadline, Timer::NodeConnection(id));
        }
        if has_incomplete_frame && connection.deadline.is_none() {
            let deadline = context.now + context.limits.frame_timeout;
            connection.deadline = Some(deadline);
            context.set_timer(deadline, Timer::NodeConnection(id));
        }
    }
}
