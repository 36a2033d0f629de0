//! Attempts to have parts of multigets answered by nodes: assignment to connections, cancellation and end.

use crate::context::Context;
use crate::events::NodeConnectionId;
use crate::node_connection::{AttemptId, OutgoingFrame, PendingAttempt, WriteState};
use crate::nodes::Nodes;
use fernknot::interface::{LoadReport, NodeId, Outcome};
use slog::debug;
use std::cmp::Reverse;

impl Nodes {
    /// Queues an attempt to be sent in this iteration.
    pub fn queue_attempt(&mut self, attempt: AttemptId, node: NodeId) {
        self.unassigned_attempts.entry(node).or_default().push(attempt);
    }

    /// Assigns the attempts of this iteration to connections, grouped into calls of the maximum size.
    pub fn assign_calls(&mut self, context: &mut Context) {
        for (node, attempts) in std::mem::take(&mut self.unassigned_attempts) {
            for call in attempts.chunks(context.settings.max_parts_per_call) {
                let table = &context.engine.table;
                let is_in_flight =
                    |attempt: &AttemptId| table.is_attempt_in_flight(attempt.part, attempt.number);
                let in_flight: Vec<AttemptId> = call.iter().copied().filter(is_in_flight).collect();
                if !in_flight.is_empty() {
                    self.assign_call(context, node, in_flight);
                }
            }
        }
    }

    fn assign_call(&mut self, context: &mut Context, node: NodeId, call: Vec<AttemptId>) {
        let part_ids: Vec<String> = call
            .iter()
            .filter_map(|attempt| Some(context.engine.table.part(attempt.part)?.id.clone()))
            .collect();
        let free = self.free_connection(node, &part_ids, context.settings.max_calls_per_connection);
        let Some(id) = free.or_else(|| self.open_connection(context, node)) else {
            for attempt in call {
                self.end_attempt(context, attempt, Outcome::Unreachable, LoadReport::default());
            }
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let number = connection.next_call;
        connection.next_call += 1;
        connection.attempts_by_call.insert(number, call.len());
        for (attempt, part_id) in call.iter().zip(part_ids) {
            let pending = PendingAttempt { id: *attempt, call: number, state: WriteState::Queued };
            connection.pending_attempts.insert(part_id, pending);
            self.connection_by_attempt.insert(*attempt, id);
        }
        connection.queued_frames.push_back(OutgoingFrame::Call(call));
        self.unflushed_connections.push(id);
    }

    /// Returns the oldest connection to a node that accepts a call, with a preference for established connections.
    fn free_connection(
        &self,
        node: NodeId,
        part_ids: &[String],
        max_calls: usize,
    ) -> Option<NodeConnectionId> {
        let part_ids: Vec<&str> = part_ids.iter().map(String::as_str).collect();
        let accepts = |id: &&NodeConnectionId| self.connections[id].accepts_call(&part_ids, max_calls);
        let is_connected = |id: &&NodeConnectionId| self.connections[id].is_connected;
        let free = self.record(node).connections.iter().filter(accepts);
        free.max_by_key(|id| (is_connected(id), Reverse(**id))).copied()
    }

    /// Abandons an attempt. If none of its bytes has been written, its outcome is `NeverSent`; otherwise the outcome is
    /// `outcome`, and the node is asked to cancel it.
    pub fn abandon(&mut self, context: &mut Context, attempt: AttemptId, outcome: Outcome) {
        if !context.engine.table.is_attempt_in_flight(attempt.part, attempt.number) {
            return;
        }
        let part = context.engine.table.part(attempt.part);
        let part_id = part.map(|part| part.id.clone()).unwrap_or_default();
        let was_sent = self.cancel(context, attempt, part_id);
        let outcome = if was_sent { outcome } else { Outcome::NeverSent };
        self.end_attempt(context, attempt, outcome, LoadReport::default());
    }

    /// Removes an attempt from its connection. Returns whether bytes of it have been written; in that case the node is
    /// asked to cancel it.
    fn cancel(&mut self, context: &Context, attempt: AttemptId, part_id: String) -> bool {
        let Some(id) = self.connection_by_attempt.get(&attempt).copied() else { return false };
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let was_sent =
            connection.take_pending(&part_id).is_some_and(|pending| pending.state != WriteState::Queued);
        if !was_sent {
            return false;
        }
        connection.cancelled_part_ids.push_back(part_id.clone());
        if connection.cancelled_part_ids.len() > context.limits.max_remembered_cancellations {
            connection.cancelled_part_ids.pop_front();
        }
        connection.queued_frames.push_back(OutgoingFrame::Cancel(part_id));
        self.unflushed_connections.push(id);
        true
    }

    /// Reports the outcome of an attempt to the engine.
    pub fn end_attempt(
        &mut self,
        context: &mut Context,
        attempt: AttemptId,
        outcome: Outcome,
        load: LoadReport,
    ) {
        self.connection_by_attempt.remove(&attempt);
        let AttemptId { part, number } = attempt;
        let state = context.engine.table.attempt(part, number).filter(|state| !state.is_over);
        let Some(state) = state else { return };
        if !matches!(outcome, Outcome::Answered | Outcome::Cancelled | Outcome::NeverSent) {
            let (node, took) = (state.node.0, (context.now - state.sent_at).as_millis());
            debug!(context.log, "attempt failed"; "node" => node, "how" => ?outcome, "took_ms" => took);
        }
        context.engine.attempt_ended(context.now, part, number, outcome, load);
    }
}
