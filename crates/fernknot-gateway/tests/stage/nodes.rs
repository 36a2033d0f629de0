//! Nodes, well behaved and not.

use super::{Arrival, Due, Mark, Stage, plans};
use fernknot::interface::Nanos;
use fernknot_net::ConnectionId;
use fernknot_registry::{NodeRecord, NodeState};
use fernknot_simulator::wire::{self, Message};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddrV4;

/// One address, and the life that has it now.
pub struct Host {
    pub addr: SocketAddrV4,
    pub up: bool,
    service: &'static str,
    no: u64,
    conns: BTreeMap<ConnectionId, Conn>,
    state: NodeState,
    /// What was told of the life before.
    before: Option<NodeRecord>,
}

impl Host {
    fn life(&self) -> String {
        format!("i-{}-{}", self.addr.ip().octets()[3], self.no)
    }

    fn fact(&self) -> NodeRecord {
        NodeRecord {
            id: self.life(),
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
struct Conn {
    input: Vec<u8>,
    queue: VecDeque<Message>,
    busy: bool,
    /// What it works on is a `HEAD`.
    bodiless: bool,
    /// An answer given earlier on this connection.
    earlier: Option<Vec<u8>>,
}

/// What a node does later.
pub enum Job {
    Start(Box<Message>),
    Finish(Box<Message>),
    Surplus(Vec<u8>),
    /// Words about this life reach the controller.
    Told(Vec<NodeRecord>),
    Goes,
}

impl Stage {
    pub fn begin_nodes(&mut self) {
        let all = ["lone", "pair", "pair", "other", "s0", "s0", "s1", "s2", "s2", "t0", "t1", "t1"];
        for (no, service) in all.into_iter().enumerate() {
            let addr = SocketAddrV4::new([10, 128, 0, no as u8 + 1].into(), 8080);
            let conns = BTreeMap::new();
            let state = NodeState::Ready;
            self.hosts.push(Host { addr, up: true, service, no: 1, conns, state, before: None });
        }
    }

    pub fn facts_of_nodes(&self) -> Vec<NodeRecord> {
        let before = self.hosts.iter().filter_map(|host| host.before.clone());
        before.chain(self.hosts.iter().map(Host::fact)).collect()
    }

    /// The answer to an attempt to connect, or none where it hangs.
    pub fn node_connected(&mut self, host: usize, berth: ConnectionId) -> Option<Arrival> {
        match self.chance.under(200) {
            0 => None,
            1..4 => Some(Arrival::Refused),
            _ => {
                self.hosts[host].conns.insert(berth, Conn::default());
                Some(Arrival::Up)
            }
        }
    }

    pub fn node_sees_end(&mut self, host: usize, berth: ConnectionId) {
        self.hosts[host].conns.remove(&berth);
    }

    pub fn node_gets(&mut self, host: usize, berth: ConnectionId, bytes: &[u8]) {
        let Some(conn) = self.hosts[host].conns.get_mut(&berth) else {
            // Nobody knows this connection any more.
            return self.arrives(berth, Nanos(1_000_000), Arrival::Reset);
        };
        conn.input.extend(bytes);
        loop {
            match wire::parse_message(&conn.input) {
                Ok(Some(message)) => {
                    conn.input.drain(..message.length);
                    conn.queue.push_back(message);
                }
                Ok(None) => break,
                Err(why) => return self.checker.fault(format!("UNASKED: a node got {why}")),
            }
        }
        self.node_next(host, berth);
    }

    fn node_next(&mut self, host: usize, berth: ConnectionId) {
        let life = self.hosts[host].life();
        let no = self.hosts[host].no;
        let Some(conn) = self.hosts[host].conns.get_mut(&berth).filter(|conn| !conn.busy) else { return };
        let Some(message) = conn.queue.pop_front() else { return };
        (conn.busy, conn.bodiless) = (true, message.start_line_part(0) == "HEAD");
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let own = [("Attempt-Id", &attempt[..]), ("Not-Executed", "1")];
        if message.header("Target-Node") != Some(&life) {
            self.checker.seen.add("meant for another life");
            let bytes = wire::encode_response(421, &own[..1], b"another");
            return self.node_says(host, berth, bytes, Some(Mark::NotRun(attempt)));
        }
        if self.chance.odds(120) {
            self.checker.seen.add("turned away");
            let bytes = wire::encode_response(503, &own, b"full");
            return self.node_says(host, berth, bytes, Some(Mark::NotRun(attempt)));
        }
        let wait = match self.chance.under(10) {
            0 => self.chance.millis(1.0, 60.0),
            _ => Nanos(0),
        };
        self.at(self.now + wait, Due::Node(host, no, berth, Job::Start(Box::new(message))));
    }

    pub fn node_works(&mut self, host: usize, life: u64, berth: ConnectionId, job: Job) {
        let is_same = self.hosts[host].no == life;
        let has_conn = self.hosts[host].conns.contains_key(&berth);
        match job {
            Job::Told(facts) => self.tell_nodes(&facts),
            _ if !is_same => {}
            Job::Goes => {
                self.hosts[host].up = false;
                self.hosts[host].state = NodeState::Gone;
                self.drop_conns(host, false);
                let fact = self.hosts[host].fact();
                self.tell_nodes(&[fact]);
            }
            Job::Start(message) => {
                // Most drop a request whose connection has closed; some don't look.
                if !has_conn && self.chance.odds(700) {
                    return;
                }
                let service = self.hosts[host].service;
                self.note(|| {
                    format!("{berth:?} runs {} {:?}", message.start_line, message.header("Attempt-Id"))
                });
                self.checker.runs(service, &message);
                let wait = match self.chance.under(100) {
                    0..85 => self.chance.millis(1.0, 30.0),
                    85..97 => self.chance.millis(30.0, 250.0),
                    _ => Nanos(60_000_000_000),
                };
                self.at(self.now + wait, Due::Node(host, life, berth, Job::Finish(message)));
                if self.chance.odds(4) {
                    self.crash(host);
                }
            }
            Job::Finish(message) if has_conn => self.node_finishes(host, berth, &message),
            Job::Surplus(bytes) if has_conn => {
                self.checker.seen.add("surplus answers");
                self.note(|| format!("{berth:?} gets a surplus answer"));
                self.sends(berth, bytes, None);
            }
            Job::Finish(_) | Job::Surplus(_) => {}
        }
    }

    fn node_finishes(&mut self, host: usize, berth: ConnectionId, message: &Message) {
        let (service, life) = (self.hosts[host].service, self.hosts[host].life());
        let attempt = message.header("Attempt-Id").unwrap_or_default().to_string();
        let seal = format!("{attempt}.{life}.{}", self.chance.draw() % 100_000);
        // A `HEAD` is answered without a body, though with its length.
        let bodiless = message.start_line_part(0) == "HEAD";
        let length = if bodiless { 0 } else { self.chance.under(100) };
        let body: Vec<u8> = (0..length).map(|_| b'a' + self.chance.under(20) as u8).collect();
        let sealed = [("Attempt-Id", &attempt[..]), ("Answer-Seal", &seal[..])];
        let mut issue = |status: u16| self.checker.issues(&seal, &attempt, service, status, &body);
        match self.chance.under(100) {
            0..70 => {
                issue(200);
                let mut headers = sealed.to_vec();
                if self.chance.odds(60) {
                    headers.push(("Connection", "close"));
                } else if self.chance.odds(100) {
                    headers.push(("Keep-Alive", "timeout=1"));
                }
                let bytes = wire::encode_response(200, &headers, &body);
                self.node_says(host, berth, bytes, None);
            }
            70..75 => {
                issue(200);
                let head = format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nAnswer-Seal: {seal}\r\n");
                let mut bytes = format!("{head}Transfer-Encoding: chunked\r\n\r\n").into_bytes();
                bytes.extend(wire::encode_chunked(&body, 7));
                self.node_says(host, berth, bytes, None);
            }
            75..79 => {
                issue(500);
                self.node_says(host, berth, wire::encode_response(500, &sealed, &body), None);
            }
            // It ran, whatever the status says.
            79..82 => self.node_says(host, berth, wire::encode_response(503, &sealed, b"no"), None),
            82..84 => self.node_says(host, berth, wire::encode_response(429, &sealed[..1], b"no"), None),
            84..86 => self.node_says(host, berth, wire::encode_response(200, &sealed[..1], &body), None),
            86..88 => {
                let coded = [sealed[0], sealed[1], ("Content-Encoding", "gzip")];
                self.node_says(host, berth, wire::encode_response(200, &coded, &body), None);
            }
            // Cut short: by a reset, by an end, or without a length to tell.
            88..92 => {
                issue(200);
                let bytes = wire::encode_response(200, &sealed, b"a body that never comes whole");
                let body = if bodiless { 29 } else { 0 };
                let cut = 1 + self.chance.under(bytes.len() - body - 1);
                self.sends(berth, bytes[..cut].to_vec(), None);
                self.ends_conn(host, berth);
            }
            92..94 if !bodiless => {
                let head =
                    format!("HTTP/1.1 200 OK\r\nAttempt-Id: {attempt}\r\nAnswer-Seal: {seal}\r\n\r\ncut");
                self.sends(berth, head.into_bytes(), None);
                self.ends_conn(host, berth);
            }
            94..96 => self.node_says(host, berth, b"no answer at all\r\n\r\n".to_vec(), None),
            // Whole, and a reset right behind it.
            96..98 => {
                issue(200);
                self.checker.seen.add("whole answers before a reset");
                self.sends(berth, wire::encode_response(200, &sealed, &body), None);
                self.hosts[host].conns.remove(&berth);
                self.arrives(berth, Nanos(0), Arrival::Reset);
            }
            _ => self.ends_conn(host, berth),
        }
    }

    /// Ends a connection with a reset or in order.
    fn ends_conn(&mut self, host: usize, berth: ConnectionId) {
        self.hosts[host].conns.remove(&berth);
        self.checker.seen.add("connections broken by nodes");
        let end = if self.chance.odds(500) { Arrival::Reset } else { Arrival::Fin };
        let wait = self.chance.millis(0.1, 3.0);
        self.arrives(berth, wait, end);
    }

    /// Sends an answer, at times with another one before it or the same behind it.
    fn node_says(&mut self, host: usize, berth: ConnectionId, mut bytes: Vec<u8>, mark: Option<Mark>) {
        let no = self.hosts[host].no;
        let closes = self.hosts[host].state == NodeState::Draining && self.chance.odds(300);
        let Some(conn) = self.hosts[host].conns.get_mut(&berth) else { return };
        conn.busy = false;
        if std::mem::take(&mut conn.bodiless)
            && let Some(end) = bytes.windows(4).position(|four| four == b"\r\n\r\n")
        {
            bytes.truncate(end + 4);
        }
        let earlier = conn.earlier.replace(bytes.clone());
        if let Some(earlier) = earlier.filter(|_| self.chance.odds(20)) {
            self.checker.seen.add("earlier answers again");
            self.sends(berth, earlier, None);
        }
        // Aimed: the same refusal again, when the next hand-off may be on its way.
        let late = if mark.is_some() { 20 } else { 8 };
        self.sends(berth, bytes.clone(), mark);
        match self.chance.under(100) {
            0..3 => {
                self.checker.seen.add("doubled answers");
                self.sends(berth, bytes, None);
            }
            drawn if drawn < late => {
                let wait = self.chance.millis(0.5, 120.0);
                self.at(self.now + wait, Due::Node(host, no, berth, Job::Surplus(bytes)));
            }
            _ => {}
        }
        if closes {
            return self.ends_conn(host, berth);
        }
        self.node_next(host, berth);
    }

    fn drop_conns(&mut self, host: usize, silent: bool) {
        for berth in std::mem::take(&mut self.hosts[host].conns).into_keys() {
            if !silent {
                let wait = self.chance.millis(0.1, 5.0);
                self.arrives(berth, wait, Arrival::Reset);
            }
        }
    }

    /// Aimed: a node ends amid its work, and the gateway gets the end of its connections and the words about it in one
    /// turn.
    fn crash(&mut self, host: usize) {
        self.checker.seen.add("crashes told in one turn");
        self.hosts[host].state = NodeState::Lost;
        let lost = self.hosts[host].fact();
        self.restart(host, false, false);
        self.tell_nodes(&[lost]);
        self.stands_still(Nanos(10_000_000));
    }

    /// A life ends, and another one, of this service or another, has its address.
    pub fn restart(&mut self, host: usize, silent: bool, reuse: bool) {
        self.checker.seen.add("restarts of nodes");
        let old = NodeRecord { state: NodeState::Lost, ..self.hosts[host].fact() };
        self.drop_conns(host, silent);
        let service = plans::SERVICES[self.chance.under(plans::SERVICES.len())];
        let at = &mut self.hosts[host];
        at.before = Some(old.clone());
        (at.no, at.up, at.state) = (at.no + 1, true, NodeState::Ready);
        if reuse {
            at.service = service;
        }
        let (fact, no) = (at.fact(), at.no);
        // At times the words are as quick as the end of the connections.
        let longest = if self.chance.odds(300) { 4.0 } else { 400.0 };
        let wait = self.chance.millis(0.0, longest);
        self.at(self.now + wait, Due::Node(host, no, ConnectionId(0), Job::Told(vec![old, fact])));
    }

    /// A node says that it leaves, and goes after a while.
    pub fn drain(&mut self, host: usize) {
        if self.hosts[host].state != NodeState::Ready {
            return;
        }
        self.hosts[host].state = NodeState::Draining;
        let (fact, no) = (self.hosts[host].fact(), self.hosts[host].no);
        let wait = self.chance.millis(0.0, 100.0);
        self.at(self.now + wait, Due::Node(host, no, ConnectionId(0), Job::Told(vec![fact])));
        let wait = self.chance.millis(300.0, 900.0);
        self.at(self.now + wait, Due::Node(host, no, ConnectionId(0), Job::Goes));
    }
}
