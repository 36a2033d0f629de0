//! Connections to data nodes, from opening to closing.

use crate::context::Context;
use crate::events::{NodeConnectionId, Source, Timer};
use crate::node_connection::{NodeConnection, PendingAttempt, WriteState};
use crate::nodes::Nodes;
use crate::tcp_connection::TcpConnection;
use calloop::Readiness;
use fernknot::interface::{LoadReport, NodeId, Outcome};
use fernknot_protocol::outbox::Outbox;
use slog::{debug, warn};
use std::collections::{HashMap, VecDeque};

impl Nodes {
    /// Begins to connect; beyond the limit the connection that has been idle for longest is closed. `None` if there is
    /// none, or the system refuses.
    pub fn open_connection(&mut self, context: &mut Context, node: NodeId) -> Option<NodeConnectionId> {
        if self.connections.len() >= context.limits.max_node_connections {
            let idle = self.connections.iter().filter(|(_, connection)| connection.is_idle());
            let oldest = idle.map(|(id, connection)| (connection.last_used, *id)).min();
            self.close_connection(context, oldest?.1);
        }
        let id = NodeConnectionId(self.next_connection);
        self.next_connection += 1;
        let address = self.record(node).address;
        let tcp = match TcpConnection::connect(&context.event_loop, address, Source::Node(id)) {
            Ok(tcp) => tcp,
            Err(error) => {
                context.counters.node_connects_failed += 1;
                debug!(context.log, "no connection"; "node" => %address, "why" => error.to_string());
                return None;
            }
        };
        self.add_connection(context, id, node, tcp);
        Some(id)
    }

    fn add_connection(
        &mut self,
        context: &mut Context,
        id: NodeConnectionId,
        node: NodeId,
        tcp: TcpConnection,
    ) {
        let deadline = context.now + context.limits.connect_timeout;
        let idle_timer_at = context.now + context.limits.node_idle_timeout;
        context.set_timer(deadline, Timer::NodeConnection(id));
        context.set_timer(idle_timer_at, Timer::NodeIdle(id));
        let connection = NodeConnection {
            node,
            tcp,
            is_up: false,
            is_retired: false,
            queued: VecDeque::new(),
            outbox: Outbox::default(),
            pending: HashMap::new(),
            attempts_by_call: HashMap::new(),
            next_call: 0,
            cancelled: VecDeque::new(),
            last_used: context.now,
            last_received: context.now,
            idle_timer_at,
            deadline: Some(deadline),
        };
        self.connections.insert(id, connection);
        self.record_mut(node).connections.push(id);
    }

    /// The event loop has found a connection ready.
    pub fn node_ready(&mut self, context: &mut Context, id: NodeConnectionId, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_up {
            match connection.tcp.connected() {
                Ok(true) => {
                    connection.is_up = true;
                    context.counters.node_connections += 1;
                    if let Some(deadline) = connection.deadline.take() {
                        context.cancel_timer(deadline, Timer::NodeConnection(id));
                    }
                }
                Ok(false) => return,
                Err(_) => {
                    context.counters.node_connects_failed += 1;
                    return self.connection_broken(context, id);
                }
            }
        }
        connection.tcp.is_readable |= readiness.readable || readiness.error;
        self.unflushed.push(id);
        self.read_node(context, id);
    }

    /// Closes a connection that takes no new calls once it is idle.
    pub fn close_if_retired(&mut self, context: &mut Context, id: NodeConnectionId) {
        if self.connections.get(&id).is_some_and(|connection| connection.is_retired && connection.is_idle()) {
            self.close_connection(context, id);
        }
    }

    /// A connection cannot be read any further.
    pub fn protocol_error(&mut self, context: &mut Context, id: NodeConnectionId, why: &str) {
        context.counters.frames_bad += 1;
        if let Some(connection) = self.connections.get(&id) {
            let address = self.record(connection.node).address;
            warn!(context.log, "a connection is closed"; "node" => %address, "why" => why.to_string());
        }
        // The node is alive and has sent something. Guards against taking it for one that a multiget brought down.
        self.connection_lost(context, id, Outcome::Error);
    }

    /// The connection is gone: what was written completely may have run, anything else has not.
    pub fn connection_broken(&mut self, context: &mut Context, id: NodeConnectionId) {
        self.connection_lost(context, id, Outcome::Invalid);
    }

    /// Ends all attempts of a connection; those that were written completely have the outcome `written`.
    fn connection_lost(&mut self, context: &mut Context, id: NodeConnectionId, written: Outcome) {
        let Some(connection) = self.close_connection(context, id) else { return };
        let mut pending: Vec<PendingAttempt> = connection.pending.into_values().collect();
        pending.sort_by_key(|attempt| attempt.id);
        for PendingAttempt { id, state, .. } in pending {
            // What has not begun was never on a connection that was up: it goes to the same node by another. Guards
            // against connections that the node closes between calls.
            if state == WriteState::Queued && connection.is_up {
                self.unplaced.entry(connection.node).or_default().push(id);
                continue;
            }
            let outcome = if state == WriteState::Written { written } else { Outcome::Unreachable };
            self.end(context, id, outcome, LoadReport::default());
        }
    }

    /// Closes a connection and forgets it; its attempts are the caller's to end.
    pub fn close_connection(
        &mut self,
        context: &mut Context,
        id: NodeConnectionId,
    ) -> Option<NodeConnection> {
        let connection = self.connections.remove(&id)?;
        context.cancel_timer(connection.idle_timer_at, Timer::NodeIdle(id));
        if let Some(deadline) = connection.deadline {
            context.cancel_timer(deadline, Timer::NodeConnection(id));
        }
        self.record_mut(connection.node).connections.retain(|other| *other != id);
        Some(connection)
    }

    /// A connection is not up in time, or a frame is not complete in time.
    pub fn deadline_passed(&mut self, context: &mut Context, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.deadline = None;
        if connection.is_up {
            return self.protocol_error(context, id, "a frame that never came whole");
        }
        context.counters.node_connects_failed += 1;
        self.connection_broken(context, id);
    }

    /// Closes an idle connection before the node does: what is sent on one that the node closes meanwhile may have run,
    /// for all that is known.
    pub fn idle_timer_due(&mut self, context: &mut Context, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        let is_idle = connection.is_idle();
        let timeout = context.limits.node_idle_timeout;
        if is_idle && connection.last_used + timeout <= context.now {
            context.counters.node_connections_idle_closed += 1;
            self.close_connection(context, id);
            return;
        }
        let idle_since = if is_idle { connection.last_used } else { context.now };
        connection.idle_timer_at = idle_since + timeout;
        context.set_timer(connection.idle_timer_at, Timer::NodeIdle(id));
    }

    /// Retires those connections on which nothing has come since the first attempt that waits there was sent.
    pub fn renew_connections(&mut self, context: &mut Context, node: NodeId) {
        for id in &self.records[node.0 as usize].connections {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            let written = connection.pending.values().filter(|attempt| attempt.state == WriteState::Written);
            let first_sent = written
                .filter_map(|attempt| {
                    let table = &context.engine.table;
                    table.attempt(attempt.id.part, attempt.id.number).map(|attempt| attempt.sent_at)
                })
                .min();
            connection.is_retired |= first_sent.is_some_and(|sent| connection.last_received <= sent);
        }
    }
}
