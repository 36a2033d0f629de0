//! Connections to data nodes: opening, time-outs and closing.

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
    /// Starts a connection to a node. At the maximum number of connections the one that has been idle for longest is
    /// closed first. Returns `None` if the maximum is reached and no connection is idle, or if the operating system
    /// reports an error.
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
                debug!(context.log, "cannot connect to a node";
                    "node" => %address, "why" => error.to_string());
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
            is_connected: false,
            is_retired: false,
            queued_frames: VecDeque::new(),
            outbox: Outbox::default(),
            pending_attempts: HashMap::new(),
            attempts_by_call: HashMap::new(),
            next_call: 0,
            cancelled_part_ids: VecDeque::new(),
            last_used: context.now,
            last_received: context.now,
            idle_timer_at,
            deadline: Some(deadline),
        };
        self.connections.insert(id, connection);
        self.record_mut(node).connections.push(id);
    }

    /// Handles the readiness of a connection.
    pub fn node_ready(&mut self, context: &mut Context, id: NodeConnectionId, readiness: Readiness) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        if !connection.is_connected {
            match connection.tcp.check_connected() {
                Ok(true) => {
                    connection.is_connected = true;
                    context.counters.node_connections += 1;
                    if let Some(deadline) = connection.deadline.take() {
                        context.cancel_timer(deadline, Timer::NodeConnection(id));
                    }
                }
                Ok(false) => return,
                Err(_) => {
                    context.counters.node_connects_failed += 1;
                    return self.connection_failed(context, id);
                }
            }
        }
        connection.tcp.is_readable |= readiness.readable || readiness.error;
        self.unflushed_connections.push(id);
        self.read_node(context, id);
    }

    /// Closes a connection that accepts no new calls if it is idle.
    pub fn close_if_retired(&mut self, context: &mut Context, id: NodeConnectionId) {
        if self.connections.get(&id).is_some_and(|connection| connection.is_retired && connection.is_idle()) {
            self.close_connection(context, id);
        }
    }

    /// Closes a connection on which the node violated the protocol.
    pub fn protocol_error(&mut self, context: &mut Context, id: NodeConnectionId, reason: &str) {
        context.counters.frames_bad += 1;
        if let Some(connection) = self.connections.get(&id) {
            let address = self.record(connection.node).address;
            warn!(context.log, "protocol error on a connection to a node; closing it";
                "node" => %address, "why" => reason.to_string());
        }
        // The node is alive, so the outcome is `Error`, and the engine does not conclude that a multiget crashed it.
        self.connection_lost(context, id, Outcome::Error);
    }

    /// Handles a failed connection. Calls that were written completely may have been executed, all others were not.
    pub fn connection_failed(&mut self, context: &mut Context, id: NodeConnectionId) {
        self.connection_lost(context, id, Outcome::Invalid);
    }

    /// Closes a connection and ends its attempts; those whose frames were written completely have the outcome
    /// `written`.
    fn connection_lost(&mut self, context: &mut Context, id: NodeConnectionId, written: Outcome) {
        let Some(connection) = self.close_connection(context, id) else { return };
        let mut pending: Vec<PendingAttempt> = connection.pending_attempts.into_values().collect();
        pending.sort_by_key(|attempt| attempt.id);
        for PendingAttempt { id, state, .. } in pending {
            // No byte of this attempt was sent on the established connection, which the node may have closed while it
            // was idle: the attempt is sent to the same node on another connection.
            if state == WriteState::Queued && connection.is_connected {
                self.unassigned_attempts.entry(connection.node).or_default().push(id);
                continue;
            }
            let outcome = if state == WriteState::Written { written } else { Outcome::Unreachable };
            self.end_attempt(context, id, outcome, LoadReport::default());
        }
    }

    /// Closes a connection and removes it. The caller has to end its attempts.
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

    /// Handles a connection that was not established, or a frame that was not complete, by its deadline.
    pub fn deadline_passed(&mut self, context: &mut Context, id: NodeConnectionId) {
        let Some(connection) = self.connections.get_mut(&id) else { return };
        connection.deadline = None;
        if connection.is_connected {
            return self.protocol_error(context, id, "incomplete frame timed out");
        }
        context.counters.node_connects_failed += 1;
        self.connection_failed(context, id);
    }

    /// Closes an idle connection before the node does. It is unknown whether a call has been executed if the node
    /// closes the connection while the call is being sent.
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

    /// Retires the connections to a node on which nothing was received since the oldest pending attempt was sent.
    pub fn renew_connections(&mut self, context: &mut Context, node: NodeId) {
        for id in &self.records[node.0 as usize].connections {
            let Some(connection) = self.connections.get_mut(id) else { continue };
            let written =
                connection.pending_attempts.values().filter(|attempt| attempt.state == WriteState::Written);
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
