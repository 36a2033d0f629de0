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
    pub carries: Option<(PartId, HandOffNo)>,
    reader: ResponseReader,
    /// The answer to what it carries has no body.
    bodiless: bool,
    /// Not to be used again after what it carries.
    pub spent: bool,
    /// Not to be used any more from then on.
    pub until: Nanos,
    /// When the connection was begun.
    pub since: Nanos,
}

/// A life of a node as hand-offs need it.
pub struct NodeEndpoint {
    pub life: String,
    pub addr: SocketAddrV4,
    idle: Vec<ConnectionId>,
    open: usize,
}

/// What came on a line.
pub enum ReadOutcome {
    /// Nothing whole yet.
    Nothing,
    Answer {
        part: PartId,
        no: HandOffNo,
        node: NodeId,
        response: Response,
    },
    /// What came is no answer, or belongs to none; the line has to be closed.
    Spoilt,
}

/// All lines of a gateway.
#[derive(Default)]
pub struct NodeConnections {
    lines: HashMap<ConnectionId, NodeConnection>,
    places: HashMap<NodeId, NodeEndpoint>,
    by_hand_off: HashMap<(PartId, HandOffNo), ConnectionId>,
}

impl NodeConnections {
    /// A life of a node that may be handed something.
    pub fn know(&mut self, node: NodeId, life: &str, addr: SocketAddrV4) {
        let place = || NodeEndpoint { life: life.to_string(), addr, idle: Vec::new(), open: 0 };
        self.places.entry(node).or_insert_with(place).addr = addr;
    }

    pub fn place(&self, node: NodeId) -> Option<&NodeEndpoint> {
        self.places.get(&node)
    }

    /// A life that is gone: its idle lines come back, to be closed. What is under way goes on.
    pub fn forget(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let idle = self.places.remove(&node).map(|place| place.idle).unwrap_or_default();
        idle.iter().for_each(|berth| _ = self.lines.remove(berth));
        self.lines.values_mut().filter(|line| line.node == node).for_each(|line| line.spent = true);
        idle
    }

    /// Idle lines of a node come back, to be closed; those in use are not used again.
    pub fn renew(&mut self, node: NodeId) -> Vec<ConnectionId> {
        let Some(place) = self.places.get_mut(&node) else { return Vec::new() };
        let idle = std::mem::take(&mut place.idle);
        place.open -= idle.len().min(place.open);
        idle.iter().for_each(|berth| _ = self.lines.remove(berth));
        self.lines.values_mut().filter(|line| line.node == node).for_each(|line| line.spent = true);
        idle
    }

    pub fn len(&self) -> usize {
        self.lines.len()
    }

    pub fn is_empty(&self) -> bool {
        self.lines.is_empty()
    }

    /// Connections to a node, idle ones among them.
    pub fn open(&self, node: NodeId) -> usize {
        self.places.get(&node).map_or(0, |place| place.open)
    }

    /// An idle line to a node, the one used last; those past their time come back too, to be closed. Lines in `used`
    /// stay idle.
    pub fn idle(
        &mut self,
        now: Nanos,
        node: NodeId,
        used: &[ConnectionId],
    ) -> (Option<ConnectionId>, Vec<ConnectionId>) {
        let mut past = Vec::new();
        let Some(place) = self.places.get_mut(&node) else { return (None, past) };
        while let Some(at) = place.idle.iter().rposition(|berth| !used.contains(berth)) {
            let berth = place.idle.remove(at);
            match self.lines.get(&berth) {
                Some(line) if line.until > now => return (Some(berth), past),
                Some(_) => {
                    self.lines.remove(&berth);
                    place.open -= 1;
                    past.push(berth);
                }
                None => {}
            }
        }
        (None, past)
    }

    /// Lines that have been idle for too long, to be closed.
    pub fn stale(&mut self, now: Nanos) -> Vec<ConnectionId> {
        let is_stale = |line: &NodeConnection| line.carries.is_none() && line.until <= now;
        let stale = self.sorted(is_stale);
        stale.iter().for_each(|berth| _ = self.lost(*berth));
        stale
    }

    /// Lines that carry something to one node, or to any, and were begun so long ago.
    pub fn carrying(&self, node: Option<NodeId>, before: Nanos) -> Vec<ConnectionId> {
        let meant = |line: &NodeConnection| node.is_none_or(|node| line.node == node) && line.since <= before;
        self.sorted(|line| line.carries.is_some() && meant(line))
    }

    /// In the order in which they were begun, so that a run can be played again.
    fn sorted(&self, wanted: impl Fn(&NodeConnection) -> bool) -> Vec<ConnectionId> {
        let wanted = self.lines.iter().filter(|(_, line)| wanted(line));
        let mut berths: Vec<ConnectionId> = wanted.map(|(berth, _)| *berth).collect();
        berths.sort();
        berths
    }

    /// A new line, which carries a hand-off.
    pub fn add(&mut self, now: Nanos, berth: ConnectionId, node: NodeId, part: PartId, no: HandOffNo) {
        let line = NodeConnection {
            node,
            carries: Some((part, no)),
            reader: ResponseReader::default(),
            bodiless: false,
            spent: false,
            until: Nanos(u64::MAX),
            since: now,
        };
        self.lines.insert(berth, line);
        self.by_hand_off.insert((part, no), berth);
        if let Some(place) = self.places.get_mut(&node) {
            place.open += 1;
        }
    }

    /// An idle line takes a hand-off.
    pub fn carry(&mut self, berth: ConnectionId, part: PartId, no: HandOffNo) {
        if let Some(line) = self.lines.get_mut(&berth) {
            line.carries = Some((part, no));
            self.by_hand_off.insert((part, no), berth);
        }
    }

    /// Whether the answer to what this line carries has no body.
    pub fn bodiless(&mut self, berth: ConnectionId, bodiless: bool) {
        if let Some(line) = self.lines.get_mut(&berth) {
            line.bodiless = bodiless;
        }
    }

    pub fn carrier(&self, part: PartId, no: HandOffNo) -> Option<ConnectionId> {
        self.by_hand_off.get(&(part, no)).copied()
    }

    pub fn is_line(&self, berth: ConnectionId) -> bool {
        self.lines.contains_key(&berth)
    }

    /// The line is gone or to be closed; what it carried comes back.
    pub fn lost(&mut self, berth: ConnectionId) -> Option<(PartId, HandOffNo)> {
        let line = self.lines.remove(&berth)?;
        if let Some(place) = self.places.get_mut(&line.node) {
            place.idle.retain(|idle| *idle != berth);
            place.open = place.open.saturating_sub(1);
        }
        line.carries.inspect(|carried| _ = self.by_hand_off.remove(carried))
    }

    /// Reads what came. Guards against bytes that belong to no request: a line that shows any is spoilt.
    pub fn read(
        &mut self,
        berth: ConnectionId,
        input: &mut Buffer,
        ended: bool,
        limits: &Limits,
    ) -> ReadOutcome {
        let Some(line) = self.lines.get_mut(&berth) else { return ReadOutcome::Nothing };
        let Some((part, no)) = line.carries else {
            return if input.is_empty() && !ended { ReadOutcome::Nothing } else { ReadOutcome::Spoilt };
        };
        let read = match line.bodiless {
            true => line.reader.read_bodiless(input, limits),
            false => line.reader.read(input, ended, limits),
        };
        match read {
            Ok(Some(response)) => {
                line.spent |= !response.keep || !input.is_empty() || ended;
                line.carries = None;
                self.by_hand_off.remove(&(part, no));
                ReadOutcome::Answer { part, no, node: line.node, response }
            }
            Ok(None) if !ended => ReadOutcome::Nothing,
            _ => ReadOutcome::Spoilt,
        }
    }

    /// A line that is gone: a whole answer that had come before. Guards against one that is whole and thrown away, and
    /// against taking the connection's end for an answer's. The line serves no further.
    pub fn read_rest(&mut self, berth: ConnectionId, mut rest: Buffer, limits: &Limits) -> ReadOutcome {
        let Some(line) = self.lines.get_mut(&berth).filter(|line| line.carries.is_some()) else {
            return ReadOutcome::Nothing;
        };
        line.spent = true;
        self.read(berth, &mut rest, false, limits)
    }

    /// After an answer: the line waits for the next hand-off until then, or is to be closed.
    pub fn rest(&mut self, berth: ConnectionId, until: Nanos) -> bool {
        let Some(line) = self.lines.get_mut(&berth) else { return false };
        let place = self.places.get_mut(&line.node).filter(|_| !line.spent);
        match place {
            Some(place) => {
                line.until = until;
                place.idle.push(berth);
                true
            }
            None => {
                self.lost(berth);
                false
            }
        }
    }
}
