//! Simulated nodes, which respond correctly, incorrectly or not at all.

use super::{Arrival, Completion, Scheduled, Simulation, configs};
use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_simulator::wire::{self, Message};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// An address with the node incarnation that has it now.
pub struct Host {
    pub addr: SocketAddrV4,
    pub is_up: bool,
    service: &'static str,
    incarnation_number: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    state: NodeState,
    /// Last record of the incarnation that had the address before.
    previous_record: Option<NodeRecord>,
}

impl Host {
    fn incarnation(&self) -> String {
        format!("i-{}-{}", self.addr.ip().octets()[3], self.incarnation_number)
    }

    fn record(&self) -> NodeRecord {
        NodeRecord {
            id: self.incarnation(),
            service: self.service.into(),
            addr: self.addr,
            zone: "north".into(),
            state: self.state,
            capacity: 8,
            warm_up_left_ms: 0,
            sequence: 1 + u64::from(self.state != NodeState::Ready),
        }
    }
}

#[derive(Default)]
struct Connection {
    input: Vec<u8>,
    queue: VecDeque<Message>,
    is_busy: bool,
    /// Whether the request in execution is a `HEAD`.
    expects_no_body: bool,
    /// Response that was sent before on this connection.
    previous_response: Option<Vec<u8>>,
}

/// Scheduled activity of a node.
pub enum Job {
    Execute(Box<Message>),
    Respond(Box<Message>),
    SendDuplicate(Vec<u8>),
    /// Delivers node records to the controller.
    Report(Vec<NodeRecord>),
    Exit,
}

impl Simulation {
    pub fn start_nodes(&mut self) {
        let services = ["lone", "pair", "pair", "other", "s0", "s0", "s1", "s2", "s2", "t0", "t1", "t1"];
        for (number, service) in services.into_iter().enumerate() {
            let addr = SocketAddrV4::new([10, 128, 0, number as u8 + 1].into(), 8080);
            let connections = BTreeMap::new();
            let state = NodeState::Ready;
            self.hosts.push(Host {
                addr,
                is_up: true,
                service,
                incarnation_number: 1,
                connections,
                state,
                previous_record: None,
            });
        }
    }

    pub fn node_records(&self) -> Vec<NodeRecord> {
        let previous_records = self.hosts.iter().filter_map(|host| host.previous_record.clone());
        previous_records.chain(self.hosts.iter().map(Host::record)).collect()
    }

    /// Returns the outcome of an attempt to connect, or `None` if it hangs.
    pub fn node_connected(&mut self, host: usize, id: ConnectionId) -> Option<Arrival> {
        match self.rng.below(200) {
            0 => None,
            1..4 => Some(Arrival::Refused),
            _ => {
                self.hosts[host].connections.insert(id, Connection::default());
                Some(Arrival::Connected)
            }
        }
    }

    pub fn node_connection_closed(&mut self, host: usize, id: ConnectionId) {
        self.hosts[host].connections.remove(&id);
    }

    pub fn node_receives(&mut self, host: usize, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.hosts[host].connections.get_mut(&id) else {
            // The node has closed this connection.
            return self.send_to_gateway(id, Nanos(1_000_000), Arrival::Reset);
        };
        connection.input.extend(bytes);
        loop {
            match wire::parse_message(&connection.input) {
                Ok(Some(message)) => {
                    connection.input.drain(..message.length);
                    connection.queue.push_back(message);
                }
                Ok(None) => break,
                Err(error) => return self.checker.violation(format!("UNASKED: a node received {error}")),
            }
        }
        self.node_starts_next_request(host, id);
    }

    fn node_starts_next_request(&mut self, host: usize, id: ConnectionId) {
        let incarnation = self.hosts[host].incarnation();
        let incarnation_number = self.hosts[host].incarnation_number;
        let Some(connection) =
            self.hosts[host].connections.get_mut(&id).filter(|connection| !connection.is_busy)
        else {
            return;
        };
        let Some(message) = connection.queue.pop_front() else { return };
        (connection.is_busy, connection.expects_no_body) = (true, message.start_line_part(0) == "HEAD");
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let headers = [("Attempt-Id", &attempt[..]), ("Not-Executed", "1")];
        if message.header("Target-Node") != Some(&incarnation) {
            self.checker.coverage.add("requests for another incarnation");
            let bytes = wire::encode_response(421, &headers[..1], b"another");
            return self.node_sends_response(host, id, bytes, Some(Completion::NotExecuted(attempt)));
        }
        if self.rng.chance_per_mille(120) {
            self.checker.coverage.add("rejections by nodes");
            let bytes = wire::encode_response(503, &headers, b"full");
            return self.node_sends_response(host, id, bytes, Some(Completion::NotExecuted(attempt)));
        }
        let wait = match self.rng.below(10) {
            0 => self.rng.duration_ms(1.0, 60.0),
            _ => Nanos(0),
        };
        self.schedule(
            self.now + wait,
            Scheduled::Node(host, incarnation_number, id, Job::Execute(Box::new(message))),
        );
    }

    pub fn node_runs_job(&mut self, host: usize, incarnation_number: u64, id: ConnectionId, job: Job) {
        let is_same = self.hosts[host].incarnation_number == incarnation_number;
        let is_connected = self.hosts[host].connections.contains_key(&id);
        match job {
            Job::Report(records) => self.report_nodes(&records),
            _ if !is_same => {}
            Job::Exit => {
                self.hosts[host].is_up = false;
                self.hosts[host].state = NodeState::Gone;
                self.drop_connections(host, false);
                let record = self.hosts[host].record();
                self.report_nodes(&[record]);
            }
            Job::Execute(message) => {
                // Most nodes drop a request whose connection has closed; some execute it nevertheless.
                if !is_connected && self.rng.chance_per_mille(700) {
                    return;
                }
                let service = self.hosts[host].service;
                self.log_event(|| {
                    format!("{id:?} executes {} {:?}", message.start_line, message.header("Attempt-Id"))
                });
                self.checker.record_execution(service, &message);
                let wait = match self.rng.below(100) {
                    0..85 => self.rng.duration_ms(1.0, 30.0),
                    85..97 => self.rng.duration_ms(30.0, 250.0),
                    _ => Nanos(60_000_000_000),
                };
                self.schedule(
                    self.now + wait,
                    Scheduled::Node(host, incarnation_number, id, Job::Respond(message)),
                );
                if self.rng.chance_per_mille(4) {
                    self.crash(host);
                }
            }
            Job::Respond(message) if is_connected => self.node_responds(host, id, &message),
            Job::SendDuplicate(bytes) if is_connected => {
                self.checker.coverage.add("late duplicate responses");
                self.log_event(|| format!("{id:?} receives a late duplicate response"));
                self.send_in_pieces(id, bytes, None);
            }
            Job::Respond(_) | Job::SendDuplicate(_) => {}
        }
    }

    fn node_responds(&mut self, host: usize, id: ConnectionId, message: &Message) {
        let (service, incarnation) = (self.hosts[host].service, self.hosts[host].incarnation());
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let seal = format!("{attempt}.{incarnation}.{}", self.rng.next_u64() % 100_000);
        // The response to a `HEAD` has a length, but no body.
        let is_head = message.start_line_part(0) == "HEAD";
        let length = if is_head { 0 } else { self.rng.below(100) };
        let body: Vec<u8> = (0..length).map(|_| b'a' + self.rng.below(20) as u8).collect();
        let sealed = [("Attempt-Id", &attempt[..]), ("Answer-Seal", &seal[..])];
        let mut record_sealed_response =
            |status: u16| self.checker.record_node_response(&seal, &attempt, service, status, &body);
        match self.rng.below(100) {
            0..70 => {
                record_sealed_response(200);
                let mut headers = sealed.to_vec();
                if self.rng.chance_per_mille(60) {
                    headers.push(("Connection", "close"));
                } else if self.rng.chance_per_mille(100) {
                    headers.push(("Keep-Alive", "timeout=1"));
                }
                let bytes = wire::encode_response(200, &headers, &body);
                self.node_sends_response(host, id, bytes, None);
            }
            70..75 => {
                record_sealed_response(200);
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nAnswer-Seal: {seal}\r\n");
                let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
                bytes.extend(wire::encode_chunked(&body, 7));
                self.node_sends_response(host, id, bytes, None);
            }
            75..79 => {
                record_sealed_response(500);
                self.node_sends_response(host, id, wire::encode_response(500, &sealed, &body), None);
            }
            // The request was executed, although the status suggests that it was not.
            79..82 => self.node_sends_response(host, id, wire::encode_response(503, &sealed, b"no"), None),
            82..84 => {
                self.node_sends_response(host, id, wire::encode_response(429, &sealed[..1], b"no"), None)
            }
            84..86 => {
                self.node_sends_response(host, id, wire::encode_response(200, &sealed[..1], &body), None)
            }
            86..88 => {
                let coded = [sealed[0], sealed[1], ("Content-Encoding", "gzip")];
                self.node_sends_response(host, id, wire::encode_response(200, &coded, &body), None);
            }
            // Truncated by a reset or a close, with or without a stated length.
            88..92 => {
                record_sealed_response(200);
                let bytes = wire::encode_response(200, &sealed, b"a body that never comes whole");
                let body_length = if is_head { 29 } else { 0 };
                let sent_length = 1 + self.rng.below(bytes.len() - body_length - 1);
                self.send_in_pieces(id, bytes[..sent_length].to_vec(), None);
                self.close_node_connection(host, id);
            }
            92..94 if !is_head => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nAnswer-Seal: {seal}\r\n\r\ncut");
                self.send_in_pieces(id, head.into_bytes(), None);
                self.close_node_connection(host, id);
            }
            94..96 => self.node_sends_response(host, id, b"no answer at all\r\n\r\n".to_vec(), None),
            // Complete, and followed by a reset.
            96..98 => {
                record_sealed_response(200);
                self.checker.coverage.add("complete responses before a reset");
                self.send_in_pieces(id, wire::encode_response(200, &sealed, &body), None);
                self.hosts[host].connections.remove(&id);
                self.send_to_gateway(id, Nanos(0), Arrival::Reset);
            }
            _ => self.close_node_connection(host, id),
        }
    }

    /// Closes a connection with a reset or a FIN.
    fn close_node_connection(&mut self, host: usize, id: ConnectionId) {
        self.hosts[host].connections.remove(&id);
        self.checker.coverage.add("connections closed by nodes");
        let end = if self.rng.chance_per_mille(500) { Arrival::Reset } else { Arrival::Fin };
        let wait = self.rng.duration_ms(0.1, 3.0);
        self.send_to_gateway(id, wait, end);
    }

    /// Sends a response, sometimes with the previous response on the connection before it or a duplicate after it.
    fn node_sends_response(
        &mut self,
        host: usize,
        id: ConnectionId,
        mut bytes: Vec<u8>,
        completion: Option<Completion>,
    ) {
        let incarnation_number = self.hosts[host].incarnation_number;
        let closes = self.hosts[host].state == NodeState::Draining && self.rng.chance_per_mille(300);
        let Some(connection) = self.hosts[host].connections.get_mut(&id) else { return };
        connection.is_busy = false;
        if std::mem::take(&mut connection.expects_no_body)
            && let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n")
        {
            bytes.truncate(end + 4);
        }
        let previous_response = connection.previous_response.replace(bytes.clone());
        if let Some(previous_response) = previous_response.filter(|_| self.rng.chance_per_mille(20)) {
            self.checker.coverage.add("replayed earlier responses");
            self.send_in_pieces(id, previous_response, None);
        }
        // Duplicate rejections are more frequent: the next attempt may be in flight when they arrive.
        let late = if completion.is_some() { 20 } else { 8 };
        self.send_in_pieces(id, bytes.clone(), completion);
        match self.rng.below(100) {
            0..3 => {
                self.checker.coverage.add("duplicate responses");
                self.send_in_pieces(id, bytes, None);
            }
            drawn if drawn < late => {
                let wait = self.rng.duration_ms(0.5, 120.0);
                self.schedule(
                    self.now + wait,
                    Scheduled::Node(host, incarnation_number, id, Job::SendDuplicate(bytes)),
                );
            }
            _ => {}
        }
        if closes {
            return self.close_node_connection(host, id);
        }
        self.node_starts_next_request(host, id);
    }

    /// Removes all connections of a node; the gateway receives resets unless `silent` is set.
    fn drop_connections(&mut self, host: usize, silent: bool) {
        for id in std::mem::take(&mut self.hosts[host].connections).into_keys() {
            if !silent {
                let wait = self.rng.duration_ms(0.1, 5.0);
                self.send_to_gateway(id, wait, Arrival::Reset);
            }
        }
    }

    /// Crashes a node during an execution, such that the gateway handles the end of its connections and the report of
    /// the crash in one step.
    fn crash(&mut self, host: usize) {
        self.checker.coverage.add("crashes reported in one step");
        self.hosts[host].state = NodeState::Lost;
        let lost = self.hosts[host].record();
        self.restart(host, false, false);
        self.report_nodes(&[lost]);
        self.stall(Nanos(10_000_000));
    }

    /// Replaces an incarnation with another one at its address, of a random service if `reuse` is set. The connections
    /// are dropped without a reset if `silent` is set.
    pub fn restart(&mut self, host: usize, silent: bool, reuse: bool) {
        self.checker.coverage.add("node restarts");
        let old = NodeRecord { state: NodeState::Lost, ..self.hosts[host].record() };
        self.drop_connections(host, silent);
        let service = configs::SERVICES[self.rng.below(configs::SERVICES.len())];
        let host_state = &mut self.hosts[host];
        host_state.previous_record = Some(old.clone());
        (host_state.incarnation_number, host_state.is_up, host_state.state) =
            (host_state.incarnation_number + 1, true, NodeState::Ready);
        if reuse {
            host_state.service = service;
        }
        let (record, incarnation_number) = (host_state.record(), host_state.incarnation_number);
        // Sometimes the records of the old and the new incarnation arrive together with the end of the connections.
        let longest = if self.rng.chance_per_mille(300) { 4.0 } else { 400.0 };
        let wait = self.rng.duration_ms(0.0, longest);
        self.schedule(
            self.now + wait,
            Scheduled::Node(host, incarnation_number, ConnectionId(0), Job::Report(vec![old, record])),
        );
    }

    /// Starts to drain a node, which exits later.
    pub fn drain(&mut self, host: usize) {
        if self.hosts[host].state != NodeState::Ready {
            return;
        }
        self.hosts[host].state = NodeState::Draining;
        let (record, incarnation_number) = (self.hosts[host].record(), self.hosts[host].incarnation_number);
        let wait = self.rng.duration_ms(0.0, 100.0);
        self.schedule(
            self.now + wait,
            Scheduled::Node(host, incarnation_number, ConnectionId(0), Job::Report(vec![record])),
        );
        let wait = self.rng.duration_ms(300.0, 900.0);
        self.schedule(self.now + wait, Scheduled::Node(host, incarnation_number, ConnectionId(0), Job::Exit));
    }
}
