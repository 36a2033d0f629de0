//! Attempts on connections: placed in calls, abandoned, ended.

use crate::context::Context;
use crate::events::NodeConnectionId;
use crate::node_connection::{AttemptId, OutgoingFrame, PendingAttempt, WriteState};
use crate::nodes::Nodes;
use fernknot::interface::{LoadReport, NodeId, Outcome};
use slog::debug;
use std::cmp::Reverse;

impl Nodes {
    /// Takes an attempt that is to go out with this turn.
    pub fn send(&mut self, attempt: AttemptId, node: NodeId) {
        self.unplaced.entry(node).or_default().push(attempt);
    }

    /// Puts the attempts of this turn on connections, in calls as large as may be.
    pub fn place_calls(&mut self, context: &mut Context) {
        for (node, attempts) in std::mem::take(&mut self.unplaced) {
            for call in attempts.chunks(context.settings.max_parts_per_call) {
                let table = &context.engine.table;
                let is_out = |attempt: &AttemptId| table.is_attempt_in_flight(attempt.part, attempt.number);
                let live: Vec<AttemptId> = call.iter().copied().filter(is_out).collect();
                if !live.is_empty() {
                    self.place(context, node, live);
                }
            }
        }
    }

    fn place(&mut self, context: &mut Context, node: NodeId, call: Vec<AttemptId>) {
        let part_ids: Vec<String> = call
            .iter()
            .filter_map(|attempt| Some(context.engine.table.part(attempt.part)?.id.clone()))
            .collect();
        let free = self.free_connection(node, &part_ids, context.settings.max_calls_per_connection);
        let Some(id) = free.or_else(|| self.open_connection(context, node)) else {
            for attempt in call {
                self.end(context, attempt, Outcome::Unreachable, LoadReport::default());
            }
            return;
        };
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let number = connection.next_call;
        connection.next_call += 1;
        connection.attempts_by_call.insert(number, call.len());
        for (attempt, part_id) in call.iter().zip(part_ids) {
            let pending = PendingAttempt { id: *attempt, call: number, state: WriteState::Queued };
            connection.pending.insert(part_id, pending);
            self.connection_of.insert(*attempt, id);
        }
        connection.queued.push_back(OutgoingFrame::Call(call));
        self.unflushed.push(id);
    }

    /// The oldest connection to a node that accepts a call; those that are up go first.
    fn free_connection(
        &self,
        node: NodeId,
        part_ids: &[String],
        max_calls: usize,
    ) -> Option<NodeConnectionId> {
        let part_ids: Vec<&str> = part_ids.iter().map(String::as_str).collect();
        let accepts = |id: &&NodeConnectionId| self.connections[id].accepts(&part_ids, max_calls);
        let is_up = |id: &&NodeConnectionId| self.connections[id].is_up;
        let free = self.record(node).connections.iter().filter(accepts);
        free.max_by_key(|id| (is_up(id), Reverse(**id))).copied()
    }

    /// Stops waiting for an attempt. One of which no byte has gone out was never sent; the node is asked to cancel any
    /// other.
    pub fn abandon(&mut self, context: &mut Context, attempt: AttemptId, outcome: Outcome) {
        if !context.engine.table.is_attempt_in_flight(attempt.part, attempt.number) {
            return;
        }
        let part = context.engine.table.part(attempt.part);
        let part_id = part.map(|part| part.id.clone()).unwrap_or_default();
        let was_sent = self.cancel(context, attempt, part_id);
        let outcome = if was_sent { outcome } else { Outcome::NeverSent };
        self.end(context, attempt, outcome, LoadReport::default());
    }

    /// Takes an attempt off its connection; true if bytes of it have gone out, so that the node is asked to cancel it.
    fn cancel(&mut self, context: &Context, attempt: AttemptId, part_id: String) -> bool {
        let Some(id) = self.connection_of.get(&attempt).copied() else { return false };
        let Some(connection) = self.connections.get_mut(&id) else { return false };
        let was_sent =
            connection.release(&part_id).is_some_and(|pending| pending.state != WriteState::Queued);
        if !was_sent {
            return false;
        }
        connection.cancelled.push_back(part_id.clone());
        if connection.cancelled.len() > context.limits.max_remembered_cancellations {
            connection.cancelled.pop_front();
        }
        connection.queued.push_back(OutgoingFrame::Cancel(part_id));
        self.unflushed.push(id);
        true
    }

    /// Reports to the engine how an attempt ended.
    pub fn end(&mut self, context: &mut Context, attempt: AttemptId, outcome: Outcome, load: LoadReport) {
        self.connection_of.remove(&attempt);
        let AttemptId { part, number } = attempt;
        let state = context.engine.table.attempt(part, number).filter(|state| !state.is_over);
        let Some(state) = state else { return };
        if !matches!(outcome, Outcome::Answered | Outcome::Cancelled | Outcome::NeverSent) {
            let (node, took) = (state.node.0, (context.now - state.sent_at).as_millis());
            debug!(context.log, "an attempt failed"; "node" => node, "how" => ?outcome, "took_ms" => took);
        }
        context.engine.attempt_ended(context.now, part, number, outcome, load);
    }
}
