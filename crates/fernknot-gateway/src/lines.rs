//! Connections to nodes: one request at a time on each, kept while they are sound.

use fernknot::interface::*;
use fernknot_net::{Buffer, ConnectionId};
use fernknot_protocol::http::{Response, ResponseReader};
use fernknot_router_config::Limits;
use std::collections::HashMap;
use std::net::SocketAddrV4;

/// A connection to a node.
pub struct NodeConnection {
    pub node: NodeId,
    /// The hand-off that it carries.
    pub attempt: Option<(PartId, HandOffNo)>,
    reader: ResponseReader,
    /// The answer to what it carries has no body.
    expects_no_body: bool,
    /// Not to be used again after what it carries.
    pub not_reusable: bool,
    /// Not to be used any more from then on.
    pub reusable_until: Nanos,
    /// When the connection was begun.
    pub connect_started_at: Nanos,
}

/// A life of a node as hand-offs need it.
pub struct NodeEndpoint {
    pub incarnation: String,
    pub addr: SocketAddrV4,
    idle_connections: Vec<ConnectionId>,
    open_connections: usize,
}

/// What came on a line.
pub enum ReadOutcome {
    /// Nothing whole yet.
    Incomplete,
    Response {
        part: PartId,
        attempt: HandOffNo,
        node: NodeId,
        response: Response,
    },
    /// What came is no answer, or belongs to none; the line has to be closed.
    Invalid,
}

/// All lines of a gateway.
#[derive(Default)]
pub struct NodeConnections {
    connections: HashMap<ConnectionId, NodeConnection>,
    endpoints: HashMap<NodeId, NodeEndpoint>,
    by_attempt: HashMap<(PartId, HandOffNo), ConnectionId>,
}

impl NodeConnections {
    /// A life of a node that may be handed something.
    pub fn add_endpoint(&mut self, node: NodeId, life: &str, addr: SocketAddrV4) {
        let place = || NodeEndpoint {
            incarnation: life.to_string(),
            addr,
            idle_connections: Vec::new(),
            open_connections: 0,
        };
        self.endpoints.entry(node).or_insert_with(place).addr = addr;
    }

    pub fn endpoint(&self, node: NodeId) -> Option<&NodeEndpoint> {
        self.endpoints.get(&node)
    }

    /// A life that is gone: its idle lines come back, to be closed. What is under way goes on.
    pub fn remove_endpoint(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let idle = self.endpoints.remove(&node).map(|place| place.idle_connections).unwrap_or_default();
        idle.iter().for_each(|berth| _ = self.connections.remove(berth));
        self.connections
            .values_mut()
            .filter(|line| line.node == node)
            .for_each(|line| line.not_reusable = true);
        idle
    }

    /// Idle lines of a node come back, to be closed; those in use are not used again.
    pub fn retire_connections(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let Some(place) = self.endpoints.get_mut(&node) else { return Vec::new() };
        let idle = std::mem::take(&mut place.idle_connections);
        place.open_connections -= idle.len().min(place.open_connections);
        idle.iter().for_each(|berth| _ = self.connections.remove(berth));
        self.connections
            .values_mut()
            .filter(|line| line.node == node)
            .for_each(|line| line.not_reusable = true);
        idle
    }

    pub fn len(&self) -> usize {
        self.connections.len()
    }

    pub fn is_empty(&self) -> bool {
        self.connections.is_empty()
    }

    /// Connections to a node, idle ones among them.
    pub fn open_count(&self, node: NodeId) -> usize {
        self.endpoints.get(&node).map_or(0, |place| place.open_connections)
    }

    /// An idle line to a node, the one used last; those past their time come back too, to be closed. Lines in `used`
    /// stay idle.
    pub fn take_idle(
        &mut self,
        now: Nanos,
        node: NodeId,
        used: &[ConnectionId],
    ) -> (Option<ConnectionId>, Vec<ConnectionId>) {
        let mut past = Vec::new();
        let Some(place) = self.endpoints.get_mut(&node) else { return (None, past) };
        while let Some(at) = place.idle_connections.iter().rposition(|berth| !used.contains(berth)) {
            let berth = place.idle_connections.remove(at);
            match self.connections.get(&berth) {
                Some(line) if line.reusable_until > now => return (Some(berth), past),
                Some(_) => {
                    self.connections.remove(&berth);
                    place.open_connections -= 1;
                    past.push(berth);
                }
                None => {}
            }
        }
        (None, past)
    }

    /// Lines that have been idle for too long, to be closed.
    pub fn remove_expired(&mut self, now: Nanos) -> Vec<ConnectionId> {
        let is_stale = |line: &NodeConnection| line.attempt.is_none() && line.reusable_until <= now;
        let stale = self.matching(is_stale);
        stale.iter().for_each(|berth| _ = self.remove(*berth));
        stale
    }

    /// Lines that carry something to one node, or to any, and were begun so long ago.
    pub fn in_flight(&self, node: Option<NodeId>, before: Nanos) -> Vec<ConnectionId> {
        let meant = |line: &NodeConnection| {
            node.is_none_or(|node| line.node == node) && line.connect_started_at <= before
        };
        self.matching(|line| line.attempt.is_some() && meant(line))
    }

    /// In the order in which they were begun, so that a run can be played again.
    fn matching(&self, wanted: impl Fn(&NodeConnection) -> bool) -> Vec<ConnectionId> {
        let wanted = self.connections.iter().filter(|(_, line)| wanted(line));
        let mut berths: Vec<ConnectionId> = wanted.map(|(berth, _)| *berth).collect();
        berths.sort();
        berths
    }

    /// A new line, which carries a hand-off.
    pub fn insert(&mut self, now: Nanos, berth: ConnectionId, node: NodeId, part: PartId, no: HandOffNo) {
        let line = NodeConnection {
            node,
            attempt: Some((part, no)),
            reader: ResponseReader::default(),
            expects_no_body: false,
            not_reusable: false,
            reusable_until: Nanos(u64::MAX),
            connect_started_at: now,
        };
        self.connections.insert(berth, line);
        self.by_attempt.insert((part, no), berth);
        if let Some(place) = self.endpoints.get_mut(&node) {
            place.open_connections += 1;
        }
    }

    /// An idle line takes a hand-off.
    pub fn assign(&mut self, berth: ConnectionId, part: PartId, no: HandOffNo) {
        if let Some(line) = self.connections.get_mut(&berth) {
            line.attempt = Some((part, no));
            self.by_attempt.insert((part, no), berth);
        }
    }

    /// Whether the answer to what this line carries has no body.
    pub fn set_expects_no_body(&mut self, berth: ConnectionId, bodiless: bool) {
        if let Some(line) = self.connections.get_mut(&berth) {
            line.expects_no_body = bodiless;
        }
    }

    pub fn connection_of(&self, part: PartId, no: HandOffNo) -> Option<ConnectionId> {
        self.by_attempt.get(&(part, no)).copied()
    }

    pub fn contains(&self, berth: ConnectionId) -> bool {
        self.connections.contains_key(&berth)
    }

    /// The line is gone or to be closed; what it carried comes back.
    pub fn remove(&mut self, berth: ConnectionId) -> Option<(PartId, HandOffNo)> {
        let line = self.connections.remove(&berth)?;
        if let Some(place) = self.endpoints.get_mut(&line.node) {
            place.idle_connections.retain(|idle| *idle != berth);
            place.open_connections = place.open_connections.saturating_sub(1);
        }
        line.attempt.inspect(|carried| _ = self.by_attempt.remove(carried))
    }

    /// Reads what came. Guards against bytes that belong to no request: a line that shows any is spoilt.
    pub fn read(
        &mut self,
        berth: ConnectionId,
        input: &mut Buffer,
        ended: bool,
        limits: &Limits,
    ) -> ReadOutcome {
        let Some(line) = self.connections.get_mut(&berth) else { return ReadOutcome::Incomplete };
        let Some((part, no)) = line.attempt else {
            return if input.is_empty() && !ended { ReadOutcome::Incomplete } else { ReadOutcome::Invalid };
        };
        let read = match line.expects_no_body {
            true => line.reader.read_bodiless(input, limits),
            false => line.reader.read(input, ended, limits),
        };
        match read {
            Ok(Some(response)) => {
                line.not_reusable |= !response.keep || !input.is_empty() || ended;
                line.attempt = None;
                self.by_attempt.remove(&(part, no));
                ReadOutcome::Response { part, attempt: no, node: line.node, response }
            }
            Ok(None) if !ended => ReadOutcome::Incomplete,
            _ => ReadOutcome::Invalid,
        }
    }

    /// A line that is gone: a whole answer that had come before. Guards against one that is whole and thrown away, and
    /// against taking the connection's end for an answer's. The line serves no further.
    pub fn read_remaining(&mut self, berth: ConnectionId, mut rest: Buffer, limits: &Limits) -> ReadOutcome {
        let Some(line) = self.connections.get_mut(&berth).filter(|line| line.attempt.is_some()) else {
            return ReadOutcome::Incomplete;
        };
        line.not_reusable = true;
        self.read(berth, &mut rest, false, limits)
    }

    /// After an answer: the line waits for the next hand-off until then, or is to be closed.
    pub fn release(&mut self, berth: ConnectionId, until: Nanos) -> bool {
        let Some(line) = self.connections.get_mut(&berth) else { return false };
        let place = self.endpoints.get_mut(&line.node).filter(|_| !line.not_reusable);
        match place {
            Some(place) => {
                line.reusable_until = until;
                place.idle_connections.push(berth);
                true
            }
            None => {
                self.remove(berth);
                false
            }
        }
    }
}
