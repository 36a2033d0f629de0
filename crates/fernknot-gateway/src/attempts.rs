//! Requests in flight, the engine (`fernknot-engine`) that decides on their attempts, and the connections that carry
//! the attempts. An attempt sends one part of a request, for one shard, to one node.

use crate::counters::NodeCounters;
use crate::decisions::Decisions;
use crate::headers;
use crate::nodes::{AttemptKey, EndpointChange, NodeChanges, NodeConnections, ReadOutcome};
use crate::requests::{
    CompletedRequest, PendingRequest, RequestTable, ResponseClass, StartedRequest, classify_response,
};
use crate::routing::RoutedRequest;
use crate::seeded_bug::SeededBug;
use fernknot::interface::*;
use fernknot_engine::{RequesterId, Verdict};
use fernknot_net::{ConnectionId, Network};
use fernknot_protocol::http::Response;
use fernknot_protocol::multiget::MultigetRequest;
use fernknot_router_config::Limits;
use fernknot_telemetry::component;

/// Time for which an idle connection may be reused before any node has stated a time-out, in milliseconds.
const DEFAULT_NODE_IDLE_MS: f64 = 4000.0;
/// Share of a node's stated time-out for which an idle connection is reused, so that no request is sent into a
/// connection that the node is closing.
const NODE_IDLE_TIMEOUT_SHARE: f64 = 0.75;

/// Requests and attempts in flight. There are none before the engine starts with the first configuration.
pub(crate) struct Attempts {
    decisions: Decisions,
    requests: RequestTable,
    connections: NodeConnections,
    node_idle_timeout: Nanos,
    drain_cutoff: Nanos,
    /// Requests of tenants that nodes have begun to execute since the last call of [`Attempts::take_started`].
    started: Vec<StartedRequest>,
    /// Attempts whose requests the host has not written yet.
    unwritten: Vec<AttemptKey>,
    counters: NodeCounters,
    seeded_bug: Option<SeededBug>,
}

impl Attempts {
    /// Creates the state without requests. `drain_cutoff` is the time for which requests may still go to a node after
    /// its draining was acknowledged; attempts to nodes that leave are counted by it.
    pub(crate) fn new(drain_cutoff: Nanos) -> Attempts {
        Attempts {
            decisions: Decisions::default(),
            requests: RequestTable::default(),
            connections: NodeConnections::default(),
            node_idle_timeout: Nanos::from_millis(DEFAULT_NODE_IDLE_MS),
            drain_cutoff,
            started: Vec::new(),
            unwritten: Vec::new(),
            counters: NodeCounters::default(),
            seeded_bug: None,
        }
    }

    pub(crate) fn set_seeded_bug(&mut self, bug: SeededBug) {
        self.seeded_bug = Some(bug);
    }

    pub(crate) fn requests(&self) -> &RequestTable {
        &self.requests
    }

    pub(crate) fn connections(&self) -> &NodeConnections {
        &self.connections
    }

    pub(crate) fn counters(&self) -> &NodeCounters {
        &self.counters
    }

    pub(crate) fn decisions(&self) -> &Decisions {
        &self.decisions
    }

    pub(crate) fn decisions_mut(&mut self) -> &mut Decisions {
        &mut self.decisions
    }

    // ---- Requests --------------------------------------------------------------------------

    /// Passes a request to the engine, which decides on its attempts. Returns `None` if there is no engine yet.
    pub(crate) fn start(
        &mut self,
        now: Nanos,
        client: ConnectionId,
        routed: RoutedRequest,
    ) -> Option<RequesterId> {
        let id = self.requests.next_id();
        let deadline = now + routed.timeout;
        let shard_count = routed.parts.len();
        let multiget = MultigetRequest {
            id: routed.attempt_id.clone(),
            use_case: routed.config.use_case(routed.route),
            key: None,
            timeout: routed.timeout,
            is_retry: false,
            text: String::new(),
            parts: routed.parts,
            second_phase: None,
        };
        let RoutedRequest { request, config, route, tenant, attempt_id, .. } = routed;
        let mut pending =
            PendingRequest::new(client, config, route, attempt_id, deadline, request, shard_count);
        pending.tenant = tenant;
        pending.multiget = self.decisions.start_request(now, id, deadline, multiget)?;
        self.requests.insert(id, pending);
        Some(id)
    }

    /// Cancels a request whose client has disconnected.
    pub(crate) fn cancel(&mut self, now: Nanos, id: RequesterId) {
        let Some(mut request) = self.requests.remove(id) else { return };
        self.started.extend(request.take_start());
        self.decisions.cancel_request(now, request.multiget);
    }

    /// Removes a request that the engine has completed. A failed request of which nothing was sent counts as rejected.
    pub(crate) fn complete<N: Network>(
        &mut self,
        now: Nanos,
        id: RequesterId,
        verdict: Verdict,
        network: &mut N,
    ) -> Option<CompletedRequest> {
        let is_unsent = verdict == Verdict::Failed && self.withdraw_unsent(now, id, network);
        let mut request = self.requests.remove(id)?;
        self.started.extend(request.take_start());
        let may_reject = is_unsent || self.seeded_bug == Some(SeededBug::RejectAfterAttempt);
        let verdict = match verdict {
            Verdict::Failed if may_reject => Verdict::Rejected { retry_after: None },
            verdict => verdict,
        };
        Some(CompletedRequest { request, verdict })
    }

    /// Closes the connections of a request of which nothing was sent, so that it gets no 502 or 504 where nothing can have
    /// run, and no 503 where something may have. Returns whether that is so; the client may then
    /// receive a 503, which states that the request was not executed. Only a connection that never opened counts as one
    /// over which nothing was sent, and it is closed before the response, so that nothing can be sent afterwards.
    fn withdraw_unsent<N: Network>(&mut self, now: Nanos, id: RequesterId, network: &mut N) -> bool {
        let Some(request) = self.requests.get(id) else { return false };
        let has_bug = self.seeded_bug == Some(SeededBug::RejectAfterClose);
        let never_opened = |id: &ConnectionId| network.is_opening(*id) || has_bug && !network.is_open(*id);
        if request.was_sent || !request.opening_connections.iter().all(never_opened) {
            return false;
        }
        let opening = request.opening_connections.clone();
        self.abandon_unopened(now, opening, network);
        true
    }

    // ---- Attempts --------------------------------------------------------------------------

    /// Sends an attempt, or reports to the engine that it could not be sent.
    pub(crate) fn send<N: Network>(
        &mut self,
        now: Nanos,
        attempt: AttemptKey,
        node: NodeId,
        network: &mut N,
    ) {
        match self.try_send(now, attempt, node, network) {
            Ok(()) => self.unwritten.push(attempt),
            Err(outcome) => self.decisions.attempt_ended(now, attempt, outcome),
        }
    }

    /// Whether attempts wait for the host to write their requests.
    pub(crate) fn has_unwritten(&self) -> bool {
        !self.unwritten.is_empty()
    }

    /// Records that the host has written the requests of all attempts that were sent in the last step.
    pub(crate) fn output_written(&mut self, now: Nanos) {
        for attempt in std::mem::take(&mut self.unwritten) {
            self.decisions.attempt_written(now, attempt);
        }
    }

    /// Forgets which attempts wait, for a host that doesn't report when their requests are written.
    pub(crate) fn clear_unwritten(&mut self) {
        self.unwritten.clear();
    }

    fn try_send<N: Network>(
        &mut self,
        now: Nanos,
        attempt: AttemptKey,
        node: NodeId,
        network: &mut N,
    ) -> Result<(), Outcome> {
        let request = self.requests.of_part(attempt.part).ok_or(Outcome::NeverSent)?;
        let (idle, expired) = self.connections.take_idle(now, node, &request.used_connections);
        for id in expired {
            network.close(id);
        }
        let endpoint = self.connections.endpoint(node).ok_or(Outcome::NeverSent)?;
        let addr = endpoint.addr;
        if let Some(since) = endpoint.leaving_since {
            self.counters.to_leaving_nodes.count(now - since, self.drain_cutoff);
        }
        let id = match idle.filter(|id| network.is_open(*id)) {
            Some(id) => {
                self.counters.connections_reused += 1;
                self.connections.assign(id, attempt);
                request.was_sent = true;
                request.execution_start.record_sent(attempt, now);
                id
            }
            None => {
                let id = network.connect(addr).map_err(|_| Outcome::Unreachable)?;
                self.counters.connections_opened += 1;
                self.connections.insert(now, id, node, attempt);
                request.opening_connections.push(id);
                id
            }
        };
        if self.seeded_bug != Some(SeededBug::RetryOnSameConnection) {
            request.used_connections.push(id);
        }
        self.connections.set_expects_no_body(id, request.expects_no_body);
        let endpoint = self.connections.endpoint(node).ok_or(Outcome::NeverSent)?;
        let output = network.output(id).ok_or(Outcome::NeverSent)?;
        request.write_to_node(output, &endpoint.incarnation, request.deadline - now);
        Ok(())
    }

    /// Ends an attempt that the engine no longer waits for, and closes its connection.
    pub(crate) fn abandon<N: Network>(
        &mut self,
        now: Nanos,
        attempt: AttemptKey,
        outcome: Outcome,
        network: &mut N,
    ) {
        if let Some(id) = self.connections.connection_of(attempt) {
            if network.is_opening(id) {
                self.requests.remove_opening_connection(attempt.part, id);
            }
            self.connections.remove(id);
            network.close(id);
        }
        self.decisions.attempt_ended(now, attempt, outcome);
    }

    /// Closes the idle connections to a node, because the node may hang.
    pub(crate) fn renew_connections<N: Network>(&mut self, now: Nanos, node: NodeId, network: &mut N) {
        if self.seeded_bug == Some(SeededBug::RetryAfterTimeout) {
            for id in self.connections.in_flight(Some(node), Nanos(u64::MAX)) {
                self.connection_failed(now, id, Outcome::NeverSent, network);
            }
        }
        for id in self.connections.retire_idle(node) {
            network.close(id);
        }
    }

    /// Closes the connections that are not open yet, over which nothing has been sent. A connection that was open and
    /// has closed is left alone until its end is reported, since its attempt may have been executed.
    fn abandon_unopened<N: Network>(&mut self, now: Nanos, ids: Vec<ConnectionId>, network: &mut N) {
        for id in ids {
            let has_bug = self.seeded_bug == Some(SeededBug::ClosedCountsAsUnopened);
            if network.is_opening(id) || has_bug && !network.is_open(id) {
                self.connection_failed(now, id, Outcome::Unreachable, network);
            }
        }
    }

    /// Closes the idle connections whose time for reuse is over, and the connections that were started at
    /// `started_until` or before and are not open yet.
    pub(crate) fn close_expired<N: Network>(&mut self, now: Nanos, started_until: Nanos, network: &mut N) {
        for id in self.connections.remove_expired(now) {
            network.close(id);
        }
        let in_flight = self.connections.in_flight(None, started_until);
        self.abandon_unopened(now, in_flight, network);
    }

    // ---- Nodes and their connections -------------------------------------------------------

    /// Passes changes of nodes to the engine, and closes connections to nodes that are gone.
    pub(crate) fn apply_node_changes<N: Network>(
        &mut self,
        now: Nanos,
        changes: NodeChanges,
        known_nodes: usize,
        network: &mut N,
    ) {
        self.decisions.set_groups(changes.groups);
        for id in self.apply_endpoint_changes(changes.endpoints) {
            network.close(id);
        }
        // Unsent attempts may not reach a node that leaves in time, since a connection may take seconds to open.
        for node in changes.leaving {
            self.connections.mark_leaving(now, node);
            let in_flight = self.connections.in_flight(Some(node), Nanos(u64::MAX));
            self.abandon_unopened(now, in_flight, network);
        }
        if !changes.entries.is_empty() {
            log::info!(target: component::NODES, "{} node changes applied; {known_nodes} nodes known", changes.entries.len());
            self.decisions.apply_node_entries(&changes.entries);
        }
    }

    /// Applies changes of addresses. Returns the idle connections to nodes that are gone, which the caller closes.
    fn apply_endpoint_changes(&mut self, changes: Vec<EndpointChange>) -> Vec<ConnectionId> {
        let mut idle = Vec::new();
        for change in changes {
            match change {
                EndpointChange::Add { node, incarnation, addr } => {
                    self.connections.add_endpoint(node, &incarnation, addr);
                }
                EndpointChange::Remove { node } => idle.extend(self.connections.remove_endpoint(node)),
            }
        }
        idle
    }

    /// Returns the incarnation with this node identifier, while attempts may be sent to it.
    pub(crate) fn incarnation(&self, node: NodeId) -> Option<String> {
        self.connections.endpoint(node).map(|endpoint| endpoint.incarnation.clone())
    }

    /// Records that a connection to a node has opened, over which its attempt is sent.
    pub(crate) fn connection_opened(&mut self, now: Nanos, id: ConnectionId) {
        let Some(attempt) = self.connections.attempt_of(id) else { return };
        if let Some(request) = self.requests.of_part(attempt.part) {
            request.execution_start.record_sent(attempt, now);
        }
    }

    /// Returns the requests of tenants that nodes have begun to execute since the last call.
    pub(crate) fn take_started(&mut self) -> Vec<StartedRequest> {
        std::mem::take(&mut self.started)
    }

    /// Ends the attempt on a connection to a node that was reported as closed. Only if the connection `was_open` may
    /// the node have executed the attempt.
    pub(crate) fn connection_closed<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        was_open: bool,
        network: &mut N,
    ) {
        let may_have_run = was_open && self.seeded_bug != Some(SeededBug::RetryAfterReset);
        let outcome = if may_have_run { Outcome::Invalid } else { Outcome::Unreachable };
        self.connection_failed(now, id, outcome, network);
    }

    fn connection_failed<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        outcome: Outcome,
        network: &mut N,
    ) {
        network.close(id);
        let Some(attempt) = self.connections.remove(id) else { return };
        if outcome == Outcome::Unreachable {
            self.requests.remove_opening_connection(attempt.part, id);
        }
        self.decisions.attempt_ended(now, attempt, outcome);
    }

    // ---- Responses of nodes ----------------------------------------------------------------

    /// Reads a connection to a node. Returns the node if another incarnation has answered at its address.
    pub(crate) fn read<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        read_closed: bool,
        limits: &Limits,
        network: &mut N,
    ) -> Option<NodeId> {
        match self.connections.read(id, network.input(id)?, read_closed, limits) {
            ReadOutcome::Incomplete => None,
            ReadOutcome::Invalid => {
                self.counters.invalid_responses += 1;
                self.connection_failed(now, id, Outcome::Invalid, network);
                None
            }
            ReadOutcome::Response { attempt, node, response } => {
                self.handle_response(now, id, attempt, response, network).then_some(node)
            }
        }
    }

    /// Reads a response that was complete before its connection failed. Returns the same as [`read`](Self::read).
    pub(crate) fn read_remaining<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        limits: &Limits,
        network: &mut N,
    ) -> Option<NodeId> {
        let input = network.take_unread_input(id)?;
        match self.connections.read_remaining(id, input, limits) {
            ReadOutcome::Response { attempt, node, response } => {
                self.handle_response(now, id, attempt, response, network).then_some(node)
            }
            ReadOutcome::Incomplete | ReadOutcome::Invalid => None,
        }
    }

    /// Handles a response. Returns whether another incarnation than the addressed one has answered.
    fn handle_response<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        attempt: AttemptKey,
        mut response: Response,
        network: &mut N,
    ) -> bool {
        response.is_self_delimited |= self.seeded_bug == Some(SeededBug::TruncatedIsComplete);
        if let Some(timeout_s) = response.header("keep-alive").and_then(headers::keep_alive_timeout_s) {
            self.node_idle_timeout =
                Nanos::from_millis(timeout_s as f64 * 1e3).times(NODE_IDLE_TIMEOUT_SHARE);
        }
        let class = self.classify(attempt, &response);
        self.release_connection(now, id, &class, network);
        self.record_execution(now, attempt, &class);
        self.record_response(now, attempt, class, response)
    }

    fn classify(&mut self, attempt: AttemptKey, response: &Response) -> ResponseClass {
        let Some(request) = self.requests.of_part(attempt.part) else { return ResponseClass::Failure };
        let attempt_id = match self.seeded_bug {
            Some(SeededBug::MatchByConnection) => response.header(headers::ATTEMPT_ID).unwrap_or_default(),
            _ => &request.attempt_id,
        };
        classify_response(response, attempt_id)
    }

    /// Makes the connection of a response idle, or closes it.
    fn release_connection<N: Network>(
        &mut self,
        now: Nanos,
        id: ConnectionId,
        class: &ResponseClass,
        network: &mut N,
    ) {
        if *class == ResponseClass::Mismatched {
            self.counters.mismatched_responses += 1;
            self.connections.remove(id);
            network.close(id);
        } else if !self.connections.release(id, now + self.node_idle_timeout) {
            network.close(id);
        }
    }

    /// Records whether a node has executed an attempt, by its response.
    fn record_execution(&mut self, now: Nanos, attempt: AttemptKey, class: &ResponseClass) {
        let Some(request) = self.requests.of_part(attempt.part) else { return };
        match class {
            ResponseClass::Part | ResponseClass::Failure => {
                request.execution_start.record_sent(attempt, now);
                self.started.extend(request.take_start());
            }
            ResponseClass::NotExecuted { .. } => request.execution_start.record_rejected(attempt),
            ResponseClass::Mismatched => {}
        }
    }

    /// Stores a classified response in its request, and reports the end of the attempt to the engine. Returns whether
    /// another incarnation than the addressed one has answered.
    fn record_response(
        &mut self,
        now: Nanos,
        attempt: AttemptKey,
        class: ResponseClass,
        response: Response,
    ) -> bool {
        let request = self.requests.of_part(attempt.part);
        match class {
            ResponseClass::Part => {
                if let Some(request) = request {
                    request.add_part(attempt.part.index, response);
                }
                self.decisions.attempt_answered(now, attempt);
            }
            ResponseClass::NotExecuted { wrong_node } => {
                self.decisions.attempt_ended(now, attempt, Outcome::Rejected);
                self.counters.wrong_node_responses += u64::from(wrong_node);
                return wrong_node;
            }
            ResponseClass::Failure => {
                if let Some(request) = request {
                    request.record_failure(response);
                }
                self.decisions.attempt_ended(now, attempt, Outcome::Error);
            }
            ResponseClass::Mismatched => self.decisions.attempt_ended(now, attempt, Outcome::Invalid),
        }
        false
    }
}
