//! Nodes, well behaved and not.

use super::{Arrival, Completion, Scheduled, Simulation, configs};
use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_simulator::wire::{self, Message};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// One address, and the incarnation that has it now.
pub struct Host {
    pub addr: SocketAddrV4,
    pub up: bool,
    service: &'static str,
    number: u64,
    connections: BTreeMap<ConnectionId, Connection>,
    state: NodeState,
    /// The last record of the incarnation before.
    before: Option<NodeRecord>,
}

impl Host {
    fn incarnation(&self) -> String {
        format!("i-{}-{}", self.addr.ip().octets()[3], self.number)
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
    busy: bool,
    /// The request that it works on is a `HEAD`.
    bodiless: bool,
    /// An answer given earlier on this connection.
    earlier: Option<Vec<u8>>,
}

/// What a node does later.
pub enum Job {
    Start(Box<Message>),
    Finish(Box<Message>),
    Surplus(Vec<u8>),
    /// Records reach the controller.
    Report(Vec<NodeRecord>),
    End,
}

impl Simulation {
    pub fn start_nodes(&mut self) {
        let services = ["lone", "pair", "pair", "other", "s0", "s0", "s1", "s2", "s2", "t0", "t1", "t1"];
        for (number, service) in services.into_iter().enumerate() {
            let addr = SocketAddrV4::new([10, 128, 0, number as u8 + 1].into(), 8080);
            let connections = BTreeMap::new();
            let state = NodeState::Ready;
            self.hosts.push(Host { addr, up: true, service, number: 1, connections, state, before: None });
        }
    }

    pub fn node_records(&self) -> Vec<NodeRecord> {
        let before = self.hosts.iter().filter_map(|host| host.before.clone());
        before.chain(self.hosts.iter().map(Host::record)).collect()
    }

    /// The answer to an attempt to connect, or none where it hangs.
    pub fn node_connected(&mut self, host: usize, id: ConnectionId) -> Option<Arrival> {
        match self.rng.under(200) {
            0 => None,
            1..4 => Some(Arrival::Refused),
            _ => {
                self.hosts[host].connections.insert(id, Connection::default());
                Some(Arrival::Up)
            }
        }
    }

    pub fn node_connection_closed(&mut self, host: usize, id: ConnectionId) {
        self.hosts[host].connections.remove(&id);
    }

    pub fn node_receives(&mut self, host: usize, id: ConnectionId, bytes: &[u8]) {
        let Some(connection) = self.hosts[host].connections.get_mut(&id) else {
            // Nobody knows this connection any more.
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
                Err(error) => return self.checker.violation(format!("UNASKED: a node got {error}")),
            }
        }
        self.node_takes_next(host, id);
    }

    fn node_takes_next(&mut self, host: usize, id: ConnectionId) {
        let incarnation = self.hosts[host].incarnation();
        let number = self.hosts[host].number;
        let Some(connection) =
            self.hosts[host].connections.get_mut(&id).filter(|connection| !connection.busy)
        else {
            return;
        };
        let Some(message) = connection.queue.pop_front() else { return };
        (connection.busy, connection.bodiless) = (true, message.start_line_part(0) == "HEAD");
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let headers = [("Attempt-Id", &attempt[..]), ("Not-Executed", "1")];
        if message.header("Target-Node") != Some(&incarnation) {
            self.checker.coverage.add("meant for another incarnation");
            let bytes = wire::encode_response(421, &headers[..1], b"another");
            return self.node_replies(host, id, bytes, Some(Completion::NotExecuted(attempt)));
        }
        if self.rng.odds(120) {
            self.checker.coverage.add("rejected by nodes");
            let bytes = wire::encode_response(503, &headers, b"full");
            return self.node_replies(host, id, bytes, Some(Completion::NotExecuted(attempt)));
        }
        let wait = match self.rng.under(10) {
            0 => self.rng.millis(1.0, 60.0),
            _ => Nanos(0),
        };
        self.schedule(self.now + wait, Scheduled::Node(host, number, id, Job::Start(Box::new(message))));
    }

    pub fn node_runs_job(&mut self, host: usize, incarnation: u64, id: ConnectionId, job: Job) {
        let is_same = self.hosts[host].number == incarnation;
        let is_connected = self.hosts[host].connections.contains_key(&id);
        match job {
            Job::Report(settings) => self.report_nodes(&settings),
            _ if !is_same => {}
            Job::End => {
                self.hosts[host].up = false;
                self.hosts[host].state = NodeState::Gone;
                self.drop_connections(host, false);
                let record = self.hosts[host].record();
                self.report_nodes(&[record]);
            }
            Job::Start(message) => {
                // Most drop a request whose connection has closed; some don't look.
                if !is_connected && self.rng.odds(700) {
                    return;
                }
                let service = self.hosts[host].service;
                self.note(|| {
                    format!("{id:?} runs {} {:?}", message.start_line, message.header("Attempt-Id"))
                });
                self.checker.runs(service, &message);
                let wait = match self.rng.under(100) {
                    0..85 => self.rng.millis(1.0, 30.0),
                    85..97 => self.rng.millis(30.0, 250.0),
                    _ => Nanos(60_000_000_000),
                };
                self.schedule(self.now + wait, Scheduled::Node(host, incarnation, id, Job::Finish(message)));
                if self.rng.odds(4) {
                    self.crash(host);
                }
            }
            Job::Finish(message) if is_connected => self.node_finishes(host, id, &message),
            Job::Surplus(bytes) if is_connected => {
                self.checker.coverage.add("surplus answers");
                self.note(|| format!("{id:?} gets a surplus answer"));
                self.send_in_pieces(id, bytes, None);
            }
            Job::Finish(_) | Job::Surplus(_) => {}
        }
    }

    fn node_finishes(&mut self, host: usize, id: ConnectionId, message: &Message) {
        let (service, incarnation) = (self.hosts[host].service, self.hosts[host].incarnation());
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let seal = format!("{attempt}.{incarnation}.{}", self.rng.draw() % 100_000);
        // A `HEAD` is answered without a body, though with its length.
        let bodiless = message.start_line_part(0) == "HEAD";
        let length = if bodiless { 0 } else { self.rng.under(100) };
        let body: Vec<u8> = (0..length).map(|_| b'a' + self.rng.under(20) as u8).collect();
        let sealed = [("Attempt-Id", &attempt[..]), ("Answer-Seal", &seal[..])];
        let mut issue = |status: u16| self.checker.record_answer(&seal, &attempt, service, status, &body);
        match self.rng.under(100) {
            0..70 => {
                issue(200);
                let mut headers = sealed.to_vec();
                if self.rng.odds(60) {
                    headers.push(("Connection", "close"));
                } else if self.rng.odds(100) {
                    headers.push(("Keep-Alive", "timeout=1"));
                }
                let bytes = wire::encode_response(200, &headers, &body);
                self.node_replies(host, id, bytes, None);
            }
            70..75 => {
                issue(200);
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nAnswer-Seal: {seal}\r\n");
                let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
                bytes.extend(wire::encode_chunked(&body, 7));
                self.node_replies(host, id, bytes, None);
            }
            75..79 => {
                issue(500);
                self.node_replies(host, id, wire::encode_response(500, &sealed, &body), None);
            }
            // It ran, whatever the status says.
            79..82 => self.node_replies(host, id, wire::encode_response(503, &sealed, b"no"), None),
            82..84 => self.node_replies(host, id, wire::encode_response(429, &sealed[..1], b"no"), None),
            84..86 => self.node_replies(host, id, wire::encode_response(200, &sealed[..1], &body), None),
            86..88 => {
                let coded = [sealed[0], sealed[1], ("Content-Encoding", "gzip")];
                self.node_replies(host, id, wire::encode_response(200, &coded, &body), None);
            }
            // Truncated: by a reset, by an end, or without a length.
            88..92 => {
                issue(200);
                let bytes = wire::encode_response(200, &sealed, b"a body that never comes whole");
                let body = if bodiless { 29 } else { 0 };
                let cut = 1 + self.rng.under(bytes.len() - body - 1);
                self.send_in_pieces(id, bytes[..cut].to_vec(), None);
                self.close_node_connection(host, id);
            }
            92..94 if !bodiless => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nAnswer-Seal: {seal}\r\n\r\ncut");
                self.send_in_pieces(id, head.into_bytes(), None);
                self.close_node_connection(host, id);
            }
            94..96 => self.node_replies(host, id, b"no answer at all\r\n\r\n".to_vec(), None),
            // Whole, and a reset right behind it.
            96..98 => {
                issue(200);
                self.checker.coverage.add("complete answers before a reset");
                self.send_in_pieces(id, wire::encode_response(200, &sealed, &body), None);
                self.hosts[host].connections.remove(&id);
                self.send_to_gateway(id, Nanos(0), Arrival::Reset);
            }
            _ => self.close_node_connection(host, id),
        }
    }

    /// Ends a connection with a reset or in order.
    fn close_node_connection(&mut self, host: usize, id: ConnectionId) {
        self.hosts[host].connections.remove(&id);
        self.checker.coverage.add("connections broken by nodes");
        let end = if self.rng.odds(500) { Arrival::Reset } else { Arrival::Fin };
        let wait = self.rng.millis(0.1, 3.0);
        self.send_to_gateway(id, wait, end);
    }

    /// Sends an answer, at times with another one before it or the same behind it.
    fn node_replies(
        &mut self,
        host: usize,
        id: ConnectionId,
        mut bytes: Vec<u8>,
        completion: Option<Completion>,
    ) {
        let number = self.hosts[host].number;
        let closes = self.hosts[host].state == NodeState::Draining && self.rng.odds(300);
        let Some(connection) = self.hosts[host].connections.get_mut(&id) else { return };
        connection.busy = false;
        if std::mem::take(&mut connection.bodiless)
            && let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n")
        {
            bytes.truncate(end + 4);
        }
        let earlier = connection.earlier.replace(bytes.clone());
        if let Some(earlier) = earlier.filter(|_| self.rng.odds(20)) {
            self.checker.coverage.add("earlier answers again");
            self.send_in_pieces(id, earlier, None);
        }
        // On purpose: the same rejection again, when the next attempt may be on its way.
        let late = if completion.is_some() { 20 } else { 8 };
        self.send_in_pieces(id, bytes.clone(), completion);
        match self.rng.under(100) {
            0..3 => {
                self.checker.coverage.add("doubled answers");
                self.send_in_pieces(id, bytes, None);
            }
            drawn if drawn < late => {
                let wait = self.rng.millis(0.5, 120.0);
                self.schedule(self.now + wait, Scheduled::Node(host, number, id, Job::Surplus(bytes)));
            }
            _ => {}
        }
        if closes {
            return self.close_node_connection(host, id);
        }
        self.node_takes_next(host, id);
    }

    fn drop_connections(&mut self, host: usize, silent: bool) {
        for id in std::mem::take(&mut self.hosts[host].connections).into_keys() {
            if !silent {
                let wait = self.rng.millis(0.1, 5.0);
                self.send_to_gateway(id, wait, Arrival::Reset);
            }
        }
    }

    /// On purpose: a node ends amid its work, and the gateway handles the end of its connections and the record of it in
    /// one step.
    fn crash(&mut self, host: usize) {
        self.checker.coverage.add("crashes reported in one step");
        self.hosts[host].state = NodeState::Lost;
        let lost = self.hosts[host].record();
        self.restart(host, false, false);
        self.report_nodes(&[lost]);
        self.stall(Nanos(10_000_000));
    }

    /// An incarnation ends, and another one, of this service or another, has its address.
    pub fn restart(&mut self, host: usize, silent: bool, reuse: bool) {
        self.checker.coverage.add("restarts of nodes");
        let old = NodeRecord { state: NodeState::Lost, ..self.hosts[host].record() };
        self.drop_connections(host, silent);
        let service = configs::SERVICES[self.rng.under(configs::SERVICES.len())];
        let host_state = &mut self.hosts[host];
        host_state.before = Some(old.clone());
        (host_state.number, host_state.up, host_state.state) =
            (host_state.number + 1, true, NodeState::Ready);
        if reuse {
            host_state.service = service;
        }
        let (record, number) = (host_state.record(), host_state.number);
        // At times the records are as quick as the end of the connections.
        let longest = if self.rng.odds(300) { 4.0 } else { 400.0 };
        let wait = self.rng.millis(0.0, longest);
        self.schedule(
            self.now + wait,
            Scheduled::Node(host, number, ConnectionId(0), Job::Report(vec![old, record])),
        );
    }

    /// A node is draining, and ends after a while.
    pub fn drain(&mut self, host: usize) {
        if self.hosts[host].state != NodeState::Ready {
            return;
        }
        self.hosts[host].state = NodeState::Draining;
        let (record, number) = (self.hosts[host].record(), self.hosts[host].number);
        let wait = self.rng.millis(0.0, 100.0);
        self.schedule(
            self.now + wait,
            Scheduled::Node(host, number, ConnectionId(0), Job::Report(vec![record])),
        );
        let wait = self.rng.millis(300.0, 900.0);
        self.schedule(self.now + wait, Scheduled::Node(host, number, ConnectionId(0), Job::End));
    }
}
