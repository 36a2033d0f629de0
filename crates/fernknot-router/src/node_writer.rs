//! Frames sent to data nodes.

use crate::context::Context;
use crate::events::NodeConnectionId;
use crate::node_connection::{AttemptId, NodeConnection, OutgoingFrame, WriteState};
use crate::nodes::Nodes;
use fernknot::interface::{NodeId, Outcome};
use fernknot_engine::Phase;
use fernknot_protocol::frames::{self, CallPart, CallPhase};

const NANOS_PER_MS: u64 = 1_000_000;

impl Nodes {
    /// Writes the frames queued in this iteration.
    pub fn flush_nodes(&mut self, context: &mut Context) {
        for id in std::mem::take(&mut self.unflushed_connections) {
            self.flush_node(context, id);
        }
    }

    fn flush_node(&mut self, context: &mut Context, id: NodeConnectionId) {
        while self.connections.get(&id).is_some_and(|connection| connection.is_connected) {
            self.encode_frames(context, id);
            let Some(connection) = self.connections.get_mut(&id) else { return };
            let Ok(count) = connection.tcp.flush() else { return self.connection_failed(context, id) };
            record_written(context, connection, count);
            let is_blocked = !connection.tcp.output.is_empty();
            while let Some(frame) = connection.outbox.pop_unwritten(&mut connection.tcp.output) {
                connection.queued_frames.push_front(frame);
            }
            connection.tcp.output.shrink(context.limits.idle_buffer_bytes);
            if is_blocked || connection.queued_frames.is_empty() {
                break;
            }
        }
        self.close_if_retired(context, id);
    }

    /// Encodes queued frames into the output buffer, without the attempts that are no longer to be sent.
    fn encode_frames(&mut self, context: &mut Context, id: NodeConnectionId) {
        while let Some(connection) = self.connections.get_mut(&id) {
            if connection.tcp.output.len() >= context.limits.read_ahead_bytes {
                return;
            }
            let Some(frame) = connection.queued_frames.pop_front() else { return };
            let node = connection.node;
            let frame = match frame {
                OutgoingFrame::Cancel(_) => frame,
                OutgoingFrame::Call(attempts) => {
                    let sendable = self.sendable(context, node, attempts);
                    if sendable.is_empty() {
                        continue;
                    }
                    OutgoingFrame::Call(sendable)
                }
            };
            let Some(connection) = self.connections.get_mut(&id) else { return };
            write_frame(context, connection, frame);
        }
    }

    /// Returns the attempts of a call that are still to be sent, and ends the others.
    fn sendable(&mut self, context: &mut Context, node: NodeId, attempts: Vec<AttemptId>) -> Vec<AttemptId> {
        let is_drain_grace_over = self.record(node).drain_grace_end.is_some_and(|end| end <= context.now);
        let mut sendable = Vec::new();
        for attempt in attempts {
            let multiget = context.engine.table.get(attempt.part.multiget);
            if is_drain_grace_over || multiget.is_none_or(|multiget| multiget.is_over) {
                self.abandon(context, attempt, Outcome::NeverSent);
            } else if context.engine.table.is_attempt_in_flight(attempt.part, attempt.number) {
                sendable.push(attempt);
            }
        }
        sendable
    }
}

/// Updates the state of the attempts after `count` bytes were written.
fn record_written(context: &Context, connection: &mut NodeConnection, count: usize) {
    let NodeConnection { outbox, pending_attempts, .. } = connection;
    outbox.record_written(count, |frame, is_complete| {
        let OutgoingFrame::Call(attempts) = frame else { return };
        for part in attempts.iter().filter_map(|attempt| context.engine.table.part(attempt.part)) {
            if let Some(attempt) = pending_attempts.get_mut(&part.id) {
                attempt.state = if is_complete { WriteState::Written } else { WriteState::Started };
            }
        }
    });
}

fn write_frame(context: &Context, connection: &mut NodeConnection, frame: OutgoingFrame) {
    let out = &mut connection.tcp.output;
    let bytes_before = out.len();
    match &frame {
        OutgoingFrame::Cancel(part_id) => frames::write_cancel(out, part_id),
        OutgoingFrame::Call(attempts) => {
            let parts = attempts.iter().filter_map(|attempt| call_part(context, *attempt));
            frames::write_call(out, parts);
        }
    }
    connection.last_used = context.now;
    connection.outbox.push(connection.tcp.output.len() - bytes_before, frame);
}

fn call_part(context: &Context, attempt: AttemptId) -> Option<CallPart<'_>> {
    let multiget = context.engine.table.get(attempt.part.multiget)?;
    let part = &multiget.parts[attempt.part.index];
    let time_left = part.attempts.get(attempt.number.0 as usize)?.deadline - context.now;
    Some(CallPart {
        id: &part.id,
        shard: part.shard.0,
        timeout_ms: time_left.0.div_ceil(NANOS_PER_MS),
        key: multiget.idempotency_key(part),
        phase: match part.phase {
            Phase::Plain => None,
            Phase::Match => Some(CallPhase::Match {
                version: context.engine.two_phase_planner().filter_version(part.shard),
            }),
            Phase::Fetch => Some(CallPhase::Fetch),
        },
        text: multiget.text(part),
    })
}
