//! Request processing at nodes: they read requests, reject some, execute others and respond.

use crate::checks::requests::RequestEvent;
use crate::checks::rule::Rule;
use crate::gateways::state::{Endpoint, Side};
use crate::simulation::Simulation;
use crate::time::millis;
use crate::traffic::state::TrafficEvent;
use crate::wire::{self, Message};
use fernknot::interface::Nanos;

/// Execution time of a request that never gets a response: longer than the run.
const HUNG_EXECUTION_TIME: Nanos = millis(60_000);

impl Simulation {
    pub(crate) fn node_is_up(&self, node: usize) -> bool {
        self.control_clients.node_incarnation(node).is_some()
    }

    pub(super) fn node_has_incarnation(&self, node: usize, incarnation: &str) -> bool {
        self.control_clients.node_incarnation(node).as_deref() == Some(incarnation)
    }

    /// Makes all nodes reject most requests for some seconds.
    pub(crate) fn overload_nodes(&mut self) {
        self.traffic.overloaded_until = self.now + self.rng.between(millis(2000), millis(8000));
        self.trace(|| "nodes are overloaded".into());
    }

    /// Resets the connections of a node whose process ends. Another incarnation may use its address later.
    pub(crate) fn stop_node(&mut self, node: usize) {
        let connections: Vec<u64> = self.traffic.node_connections.keys().copied().collect();
        for id in connections {
            let connection = self.gateways.connections.get(&id);
            if connection.is_some_and(|connection| connection.acceptor.endpoint == Endpoint::Node(node)) {
                self.traffic.node_connections.remove(&id);
                self.close_connection(id, Side::Acceptor, true);
            }
        }
    }

    pub(crate) fn node_disconnected(&mut self, connection: u64) {
        self.traffic.node_connections.remove(&connection);
    }

    pub(crate) fn node_receives(&mut self, node: usize, id: u64, bytes: &[u8]) {
        let connection = self.traffic.node_connections.entry(id).or_default();
        connection.input.extend(bytes);
        loop {
            match wire::parse_message(&connection.input) {
                Ok(Some(message)) => {
                    connection.input.drain(..message.length);
                    connection.queue.push_back(message);
                }
                Ok(None) => break,
                Err(error) => return self.report(Rule::Unasked, format!("a node got {error}")),
            }
        }
        self.node_serves_next(node, id);
    }

    /// Processes the next request of a connection, unless one is in progress.
    fn node_serves_next(&mut self, node: usize, id: u64) {
        let Some(connection) = self.traffic.node_connections.get_mut(&id) else { return };
        if connection.is_busy {
            return;
        }
        let Some(request) = connection.queue.pop_front() else { return };
        let Some(incarnation) = self.control_clients.node_incarnation(node) else { return };
        if request.start_line_part(1) == "/health" {
            let bytes = wire::encode_response(200, &[("Node-Id", &incarnation)], b"");
            return self.send_bytes(id, Side::Acceptor, bytes);
        }
        connection.is_busy = true;
        self.trace(|| {
            format!("node {node} ({incarnation}) gets {} over connection {id}", request.start_line)
        });
        let broken = self.traffic.checker.record_arrival(self.now, &request);
        self.report_broken_rule(broken);
        if let Some(rejection) = self.node_rejection(id, &incarnation, &request) {
            return self.node_sends(node, id, rejection);
        }
        self.trace(|| format!("node {node} ({incarnation}) runs {}", request.start_line));
        let broken = self.traffic.checker.record_execution(&request);
        self.report_broken_rule(broken);
        self.check_version(&request);
        let duration = self.draw_execution_time();
        let request = Box::new(request);
        let event = TrafficEvent::Executed { node, incarnation, connection: id, request };
        self.schedule_traffic(duration, event);
    }

    /// Returns the response by which a node rejects a request without executing it, if it rejects the request.
    fn node_rejection(&mut self, id: u64, incarnation: &str, request: &Message) -> Option<Vec<u8>> {
        let attempt_id = request.header("Attempt-Id").unwrap_or_default();
        if request.header("Target-Node") != Some(incarnation) {
            self.traffic.checker.count(RequestEvent::Misdirected);
            return Some(wire::encode_response(421, &[("Attempt-Id", attempt_id)], b"another"));
        }
        let opener = self.gateways.connections.get(&id).map(|connection| connection.opener.endpoint);
        if let Some(Endpoint::Gateway { index, .. }) = opener {
            self.check_drain(index, incarnation);
        }
        let is_overloaded = self.now < self.traffic.overloaded_until && !self.rng.one_in(4);
        if is_overloaded || self.rng.one_in(12) {
            self.traffic.checker.count(RequestEvent::RejectedByNode);
            let headers = [("Attempt-Id", attempt_id), ("Not-Executed", "1")];
            return Some(wire::encode_response(503, &headers, b"full"));
        }
        None
    }

    fn draw_execution_time(&self) -> Nanos {
        match self.rng.below(40) {
            0 => self.rng.between(millis(200), millis(2000)),
            1 => HUNG_EXECUTION_TIME,
            _ => self.rng.between(millis(1), millis(30)),
        }
    }

    /// Responds to an executed request: normally, twice, with 503, or only partially.
    pub(super) fn node_responds(&mut self, node: usize, incarnation: &str, id: u64, request: &Message) {
        let attempt_id = request.header("Attempt-Id").unwrap_or_default();
        let seal = format!("{attempt_id}.{incarnation}.{}", self.rng.below(100_000));
        let mut body: Vec<u8> = (0..self.rng.below(60)).map(|index| b'a' + (index % 20) as u8).collect();
        body.extend(attempt_id.bytes());
        let headers = [("Attempt-Id", attempt_id), ("Answer-Seal", &seal)];
        let bytes = wire::encode_response(200, &headers, &body);
        match self.rng.below(60) {
            0 => return self.node_aborts_response(id, &bytes),
            1 => {
                self.traffic.checker.count(RequestEvent::DuplicateResponse);
                let delay = self.rng.between(millis(0), millis(200));
                let (incarnation, bytes) = (incarnation.to_string(), bytes.clone());
                let event = TrafficEvent::DuplicateResponse { node, incarnation, connection: id, bytes };
                self.schedule_traffic(delay, event);
            }
            2 => {
                self.traffic.checker.count(RequestEvent::FailedAfterExecution);
                return self.node_sends(node, id, wire::encode_response(503, &headers, b"no"));
            }
            _ => {}
        }
        self.traffic.checker.record_response(seal.clone(), attempt_id, body);
        self.node_sends(node, id, bytes);
    }

    /// Resets a connection after a part of the response, which may be empty.
    fn node_aborts_response(&mut self, id: u64, bytes: &[u8]) {
        self.traffic.checker.count(RequestEvent::BrokenOff);
        let part = bytes[..self.rng.below(bytes.len())].to_vec();
        if !part.is_empty() {
            self.send_bytes(id, Side::Acceptor, part);
        }
        self.traffic.node_connections.remove(&id);
        self.close_connection(id, Side::Acceptor, true);
    }

    fn node_sends(&mut self, node: usize, id: u64, bytes: Vec<u8>) {
        let Some(connection) = self.traffic.node_connections.get_mut(&id) else { return };
        connection.is_busy = false;
        self.send_bytes(id, Side::Acceptor, bytes);
        self.node_serves_next(node, id);
    }
}
