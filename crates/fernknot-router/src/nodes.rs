//! Connections to data nodes: calls out, ends of hand-offs in.

use crate::app::{App, Source, Timer};
use crate::link::{Filled, Link};
use calloop::Readiness;
use fernknot::interface::*;
use fernknot_protocol::discovery::List;
use fernknot_protocol::frames::{self, CallPart, End, Frame};
use fernknot_protocol::outbox::Outbox;
use slog::{debug, warn};
use std::collections::{BTreeMap, HashMap, HashSet, VecDeque};
use std::net::SocketAddr;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct LinkId(pub u64);

/// A data node as the list has it.
struct Slot {
    address: SocketAddr,
    place: PlaceId,
    health: Health,
    since: Nanos,
    links: Vec<LinkId>,
    /// When the grace ends that it was given when it began to drain or went.
    grace: Option<Nanos>,
}

/// How far a hand-off's frame has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Waiting,
    /// Its first byte has been written, not its last.
    Begun,
    Written,
}

struct Carried {
    part: PartId,
    no: HandOffNo,
    call: u64,
    stage: Stage,
}

enum Item {
    Call(Vec<(PartId, HandOffNo)>),
    GiveUp(String),
}

struct NodeLink {
    node: NodeId,
    link: Link,
    up: bool,
    /// The node has moved or started anew since; it takes nothing new.
    old: bool,
    waiting: VecDeque<Item>,
    outbox: Outbox<Item>,
    /// What is out on it, by the parts' ids.
    carried: HashMap<String, Carried>,
    /// Calls with parts that are out, and how many.
    calls: HashMap<u64, usize>,
    next_call: u64,
    /// Parts given up on it, whose answers may still come.
    given_up: VecDeque<String>,
    used: Nanos,
    idle_at: Nanos,
    connect_by: Nanos,
}

impl NodeLink {
    fn is_idle(&self) -> bool {
        self.carried.is_empty() && self.waiting.is_empty() && self.link.output.is_empty()
    }

    /// The id of a part does not tell its hand-offs apart, so two of one part never share a connection.
    fn takes(&self, ids: &[&str], streams: usize) -> bool {
        let fresh =
            |id: &&str| !self.carried.contains_key(*id) && !self.given_up.iter().any(|held| held == id);
        !self.old && self.calls.len() < streams && ids.iter().all(fresh)
    }

    fn release(&mut self, id: &str) -> Option<Carried> {
        let carried = self.carried.remove(id)?;
        if let Some(left) = self.calls.get_mut(&carried.call) {
            *left -= 1;
            if *left == 0 {
                self.calls.remove(&carried.call);
            }
        }
        Some(carried)
    }
}

#[derive(Default)]
pub struct Nodes {
    ids: HashMap<String, NodeId>,
    slots: Vec<Slot>,
    links: HashMap<LinkId, NodeLink>,
    next_link: u64,
    /// Hand-offs of this pull that stand on no connection yet.
    pulled: BTreeMap<NodeId, Vec<(PartId, HandOffNo)>>,
    more: Vec<LinkId>,
    dirty: Vec<LinkId>,
}

impl Nodes {
    pub fn has_more(&self) -> bool {
        !self.more.is_empty()
    }
}

impl App {
    // ---- The list --------------------------------------------------------------------------

    /// Notes what a list says; what the module is to be told of it comes back.
    pub fn note_nodes(&mut self, list: &List) -> Vec<NodeEntry> {
        let mut entries = Vec::new();
        let mut named = HashSet::new();
        for listed in &list.nodes {
            let known = self.nodes.ids.get(&listed.name).copied();
            let slot = known.map(|id| &self.nodes.slots[id.0 as usize]);
            let address = listed.address.or(slot.map(|slot| slot.address));
            let place = listed.place.or(slot.map(|slot| slot.place));
            // One that is gone and was never known changes nothing.
            let (Some(address), Some(place)) = (address, place) else { continue };
            let id = known.unwrap_or_else(|| self.add_node(&listed.name, address, place, listed.since));
            named.insert(id);
            let slot = &mut self.nodes.slots[id.0 as usize];
            let moved = slot.address != address || slot.since != listed.since;
            (slot.address, slot.place, slot.since) = (address, place, listed.since);
            if moved {
                self.retire_links(id);
            }
            self.set_health(id, listed.health);
            entries.push(NodeEntry { node: id, place, health: listed.health, since: listed.since });
        }
        if list.full {
            let all = 0..self.nodes.slots.len() as u32;
            all.map(NodeId).filter(|id| !named.contains(id)).for_each(|id| self.set_health(id, Health::Gone));
        }
        entries
    }

    /// Guards against ids without end where nodes come under ever new names: past a limit, a new
    /// one takes the place of one that is gone.
    fn add_node(&mut self, name: &str, address: SocketAddr, place: PlaceId, since: Nanos) -> NodeId {
        let now = self.now;
        let unused = |slot: &Slot| {
            slot.health == Health::Gone
                && slot.links.is_empty()
                && slot.grace.is_some_and(|grace| grace < now)
        };
        let slots = &mut self.nodes.slots;
        let full = slots.len() >= self.limits.nodes;
        let index = slots.iter().position(|slot| full && unused(slot)).unwrap_or(slots.len());
        let (id, health) = (NodeId(index as u32), Health::Running);
        let slot = Slot { address, place, health, since, links: Vec::new(), grace: None };
        if index == slots.len() {
            slots.push(slot);
        } else {
            slots[index] = slot;
            self.nodes.ids.retain(|_, held| *held != id);
        }
        self.nodes.ids.insert(name.to_string(), id);
        if let Some(peers) = &mut self.peers {
            peers.tags.add(name, id);
        }
        id
    }

    fn set_health(&mut self, id: NodeId, health: Health) {
        let grace = self.now + self.limits.drain_grace;
        let slot = &mut self.nodes.slots[id.0 as usize];
        slot.health = health;
        if health == Health::Running {
            slot.grace = None;
        } else if slot.grace.is_none() {
            slot.grace = Some(grace);
            self.timers.insert((grace, Timer::DrainGrace(id)));
        }
    }

    /// A node that moved or started anew: what is out on its old connections may still be answered.
    fn retire_links(&mut self, id: NodeId) {
        for link in self.nodes.slots[id.0 as usize].links.clone() {
            if let Some(held) = self.nodes.links.get_mut(&link) {
                held.old = true;
                if held.is_idle() {
                    self.close_link(link);
                }
            }
        }
    }

    /// The grace of a draining node has run out: what is unsent will not be sent.
    pub fn drained(&mut self, id: NodeId) {
        let slot = &self.nodes.slots[id.0 as usize];
        if slot.grace.is_none_or(|grace| grace > self.now) {
            return;
        }
        for link in slot.links.clone() {
            let Some(held) = self.nodes.links.get(&link) else { continue };
            let unsent = held.carried.values().filter(|carried| carried.stage == Stage::Waiting);
            for (part, no) in unsent.map(|carried| (carried.part, carried.no)).collect::<Vec<_>>() {
                self.abandon(part, no, Outcome::NeverSent);
            }
        }
    }

    // ---- Hand-offs -------------------------------------------------------------------------

    pub fn hand_off(&mut self, part: PartId, node: NodeId, stop_at: Nanos) {
        let Some(held) = self.table.get_mut(part.of) else { return };
        let stop_at = if stop_at.0 == 0 { held.client_end } else { stop_at.min(held.client_end) };
        let hand_offs = &mut held.parts[part.index].hand_offs;
        let no = HandOffNo(hand_offs.len() as u32);
        let state = crate::table::HandOffState { node, sent: self.now, stop_at, link: None, over: false };
        hand_offs.push(state);
        held.out += 1;
        self.counters.hand_offs += 1;
        self.counters.hand_offs_further += u64::from(no.0 > 0);
        if stop_at <= self.now {
            return self.end(part, no, Outcome::NeverSent, LoadReport::default());
        }
        self.timers.insert((stop_at, Timer::StopAt(part, no)));
        self.nodes.pulled.entry(node).or_default().push((part, no));
    }

    /// Puts the hand-offs of this pull on connections, in calls as large as may be.
    pub fn place_calls(&mut self) {
        for (node, hand_offs) in std::mem::take(&mut self.nodes.pulled) {
            for call in hand_offs.chunks(self.facts.batch) {
                let live: Vec<_> =
                    call.iter().copied().filter(|(part, no)| self.is_out(*part, *no)).collect();
                if !live.is_empty() {
                    self.place(node, live);
                }
            }
        }
    }

    fn is_out(&mut self, part: PartId, no: HandOffNo) -> bool {
        self.table.hand_off(part, no).is_some_and(|hand_off| !hand_off.over)
    }

    fn place(&mut self, node: NodeId, call: Vec<(PartId, HandOffNo)>) {
        let ids: Vec<String> =
            call.iter().filter_map(|(part, _)| Some(self.table.part(*part)?.id.clone())).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        let slot = &self.nodes.slots[node.0 as usize];
        let takes = |id: &&LinkId| self.nodes.links[id].takes(&names, self.facts.streams);
        let up = |id: &&LinkId| self.nodes.links[id].up;
        let free =
            slot.links.iter().filter(takes).max_by_key(|id| (up(id), std::cmp::Reverse(**id))).copied();
        let Some(id) = free.or_else(|| self.open_link(node)) else {
            for (part, no) in call {
                self.end(part, no, Outcome::Unreachable, LoadReport::default());
            }
            return;
        };
        let Some(link) = self.nodes.links.get_mut(&id) else { return };
        let number = link.next_call;
        link.next_call += 1;
        link.calls.insert(number, call.len());
        for ((part, no), name) in call.iter().zip(ids) {
            link.carried.insert(name, Carried { part: *part, no: *no, call: number, stage: Stage::Waiting });
            if let Some(hand_off) = self.table.hand_off(*part, *no) {
                hand_off.link = Some(id);
            }
        }
        link.waiting.push_back(Item::Call(call));
        self.nodes.dirty.push(id);
    }

    fn open_link(&mut self, node: NodeId) -> Option<LinkId> {
        if self.nodes.links.len() >= self.limits.node_links {
            let idle = self.nodes.links.iter().filter(|(_, link)| link.is_idle());
            let oldest = idle.map(|(id, link)| (link.used, *id)).min();
            self.close_link(oldest?.1);
        }
        let id = LinkId(self.nodes.next_link);
        self.nodes.next_link += 1;
        let address = self.nodes.slots[node.0 as usize].address;
        let link = match Link::connect(&self.handle, address, Source::Node(id)) {
            Ok(link) => link,
            Err(error) => {
                self.counters.node_connects_failed += 1;
                debug!(self.log, "no connection"; "node" => %address, "why" => error.to_string());
                return None;
            }
        };
        let connect_by = self.now + self.limits.connect_within;
        let idle_at = self.now + self.limits.node_idle;
        self.timers.insert((connect_by, Timer::Connect(id)));
        self.timers.insert((idle_at, Timer::NodeIdle(id)));
        let opened = NodeLink {
            node,
            link,
            up: false,
            old: false,
            waiting: VecDeque::new(),
            outbox: Outbox::default(),
            carried: HashMap::new(),
            calls: HashMap::new(),
            next_call: 0,
            given_up: VecDeque::new(),
            used: self.now,
            idle_at,
            connect_by,
        };
        self.nodes.links.insert(id, opened);
        self.nodes.slots[node.0 as usize].links.push(id);
        Some(id)
    }

    pub fn call_off(&mut self, part: PartId, no: HandOffNo) {
        self.counters.hand_offs_called_off += 1;
        self.abandon(part, no, Outcome::CalledOff);
    }

    /// Nothing came by the time the module set.
    pub fn stop_waiting(&mut self, part: PartId, no: HandOffNo) {
        self.abandon(part, no, Outcome::TimedOut);
    }

    /// Stops waiting for a hand-off. One of which no byte has gone out was never sent; the node is
    /// told to give up any other.
    fn abandon(&mut self, part: PartId, no: HandOffNo, outcome: Outcome) {
        if !self.is_out(part, no) {
            return;
        }
        let link = self.table.hand_off(part, no).and_then(|hand_off| hand_off.link);
        let name = self.table.part(part).map(|part| part.id.clone()).unwrap_or_default();
        let mut sent = false;
        if let Some((id, link)) = link.and_then(|id| Some((id, self.nodes.links.get_mut(&id)?))) {
            sent = link.release(&name).is_some_and(|carried| carried.stage != Stage::Waiting);
            if sent {
                link.given_up.push_back(name.clone());
                if link.given_up.len() > self.limits.given_up {
                    link.given_up.pop_front();
                }
                link.waiting.push_back(Item::GiveUp(name));
                self.nodes.dirty.push(id);
            }
        }
        self.end(part, no, if sent { outcome } else { Outcome::NeverSent }, LoadReport::default());
    }

    /// Tells the module how a hand-off ended.
    fn end(&mut self, part: PartId, no: HandOffNo, outcome: Outcome, report: LoadReport) {
        let Some(hand_off) = self.table.hand_off(part, no).filter(|hand_off| !hand_off.over) else { return };
        hand_off.over = true;
        let (node, sent, stop_at) = (hand_off.node, hand_off.sent, hand_off.stop_at);
        self.timers.remove(&(stop_at, Timer::StopAt(part, no)));
        if let Some(held) = self.table.get_mut(part.of) {
            held.out -= 1;
        }
        let count = match outcome {
            Outcome::Answered => &mut self.counters.outcome_answered,
            Outcome::Error => &mut self.counters.outcome_error,
            Outcome::TurnedAway => &mut self.counters.outcome_turned_away,
            Outcome::TimedOut => &mut self.counters.outcome_timed_out,
            Outcome::Unreachable => &mut self.counters.outcome_unreachable,
            Outcome::Broken => &mut self.counters.outcome_broken,
            Outcome::CalledOff => &mut self.counters.outcome_called_off,
            Outcome::NeverSent => &mut self.counters.outcome_never_sent,
        };
        *count += 1;
        if !matches!(outcome, Outcome::Answered | Outcome::CalledOff | Outcome::NeverSent) {
            let took = (self.now - sent).as_millis();
            debug!(self.log, "a hand-off failed"; "node" => node.0, "how" => ?outcome, "took_ms" => took);
        }
        self.endings.push_back(Ending { part, no, node, outcome, took: self.now - sent, report });
    }

    // ---- Connections -----------------------------------------------------------------------

    pub fn node_ready(&mut self, id: LinkId, readiness: Readiness) {
        let Some(held) = self.nodes.links.get_mut(&id) else { return };
        if !held.up {
            match held.link.connected() {
                Ok(true) => {
                    held.up = true;
                    self.counters.node_connections += 1;
                    self.timers.remove(&(held.connect_by, Timer::Connect(id)));
                }
                Ok(false) => return,
                Err(_) => {
                    self.counters.node_connects_failed += 1;
                    return self.link_broken(id);
                }
            }
        }
        held.link.readable |= readiness.readable || readiness.error;
        self.nodes.dirty.push(id);
        self.read_node(id);
    }

    pub fn read_more_nodes(&mut self) {
        for id in std::mem::take(&mut self.nodes.more) {
            self.read_node(id);
        }
    }

    fn read_node(&mut self, id: LinkId) {
        let Some(held) = self.nodes.links.get_mut(&id) else { return };
        // Room for one frame whole, so that it can be read.
        let filled = held.link.fill(self.limits.frame + self.limits.turn);
        let ended = held.link.ended;
        loop {
            let Some(held) = self.nodes.links.get_mut(&id) else { return };
            match frames::read(&mut held.link.input, &self.limits) {
                Ok(Some(Frame::Ended { id: name, end, report, value })) => {
                    if !self.answered(id, &name, end, report, value) {
                        return self.bad_frame(id, "an answer to what was never sent");
                    }
                }
                Ok(Some(Frame::Probed)) => {}
                Ok(Some(Frame::Unusable(words))) => return self.bad_frame(id, &words),
                Ok(None) => {
                    held.link.input.shrink(self.limits.kept);
                    break;
                }
                Err(why) => return self.bad_frame(id, why),
            }
        }
        match filled {
            Ok(Filled::Some) => self.nodes.more.push(id),
            Ok(Filled::All) if !ended => self.close_if_retired(id),
            _ => self.link_broken(id),
        }
    }

    fn bad_frame(&mut self, id: LinkId, why: &str) {
        self.counters.frames_bad += 1;
        if let Some(held) = self.nodes.links.get(&id) {
            let address = self.nodes.slots[held.node.0 as usize].address;
            warn!(self.log, "a connection is closed"; "node" => %address, "why" => why.to_string());
        }
        self.link_broken(id);
    }

    /// Takes an answer; false if nothing here asked for it.
    fn answered(&mut self, id: LinkId, name: &str, end: End, report: LoadReport, value: Vec<u8>) -> bool {
        let Some(held) = self.nodes.links.get_mut(&id) else { return false };
        held.used = self.now;
        if held.carried.get(name).is_none_or(|carried| carried.stage == Stage::Waiting) {
            let late = held.given_up.iter().position(|given_up| given_up == name);
            late.map(|index| held.given_up.remove(index));
            self.counters.answers_late += u64::from(late.is_some());
            return late.is_some();
        }
        let Some(carried) = held.release(name) else { return false };
        // A value that is no text cannot be passed on as it is.
        let outcome = match (end, String::from_utf8(value)) {
            (End::Hit, Ok(value)) => {
                if let Some(multiget) = self.table.get_mut(carried.part.of) {
                    multiget.parts[carried.part.index].value.get_or_insert(value);
                }
                Outcome::Answered
            }
            (End::Hit, Err(_)) | (End::Fault, _) => Outcome::Error,
            (End::Overload, _) => Outcome::TurnedAway,
        };
        self.end(carried.part, carried.no, outcome, report);
        true
    }

    fn close_if_retired(&mut self, id: LinkId) {
        if self.nodes.links.get(&id).is_some_and(|held| held.old && held.is_idle()) {
            self.close_link(id);
        }
    }

    /// The connection is no more: what was written whole may have run, anything else has not.
    fn link_broken(&mut self, id: LinkId) {
        let Some(held) = self.close_link(id) else { return };
        let mut carried: Vec<Carried> = held.carried.into_values().collect();
        carried.sort_by_key(|carried| (carried.part, carried.no));
        for Carried { part, no, stage, .. } in carried {
            let outcome = if stage == Stage::Written { Outcome::Broken } else { Outcome::Unreachable };
            self.end(part, no, outcome, LoadReport::default());
        }
    }

    fn close_link(&mut self, id: LinkId) -> Option<NodeLink> {
        let held = self.nodes.links.remove(&id)?;
        self.timers.remove(&(held.idle_at, Timer::NodeIdle(id)));
        self.timers.remove(&(held.connect_by, Timer::Connect(id)));
        self.nodes.slots[held.node.0 as usize].links.retain(|link| *link != id);
        Some(held)
    }

    pub fn connect_late(&mut self, id: LinkId) {
        if self.nodes.links.get(&id).is_some_and(|held| !held.up) {
            self.counters.node_connects_failed += 1;
            self.link_broken(id);
        }
    }

    /// Closes an idle connection before the node does: what is sent on one that the node closes
    /// meanwhile may have run, for all that is known.
    pub fn node_idle(&mut self, id: LinkId) {
        let Some(held) = self.nodes.links.get_mut(&id) else { return };
        let idle = held.is_idle();
        if idle && held.used + self.limits.node_idle <= self.now {
            self.counters.node_connections_idle_closed += 1;
            self.close_link(id);
            return;
        }
        let from = if idle { held.used } else { self.now };
        held.idle_at = from + self.limits.node_idle;
        self.timers.insert((held.idle_at, Timer::NodeIdle(id)));
    }

    pub fn hang_up(&mut self, node: NodeId) {
        for id in self.nodes.slots[node.0 as usize].links.clone() {
            if self.nodes.links.get(&id).is_some_and(NodeLink::is_idle) {
                self.counters.node_connections_idle_closed += 1;
                self.close_link(id);
            }
        }
    }

    pub fn flush_nodes(&mut self) {
        for id in std::mem::take(&mut self.nodes.dirty) {
            self.flush_node(id);
        }
    }

    fn flush_node(&mut self, id: LinkId) {
        while self.nodes.links.get(&id).is_some_and(|held| held.up) {
            self.encode(id);
            let Some(held) = self.nodes.links.get_mut(&id) else { return };
            let Ok(count) = held.link.flush() else { return self.link_broken(id) };
            let NodeLink { outbox, carried, link, waiting, .. } = held;
            outbox.wrote(count, |item, whole| {
                let Item::Call(parts) = item else { return };
                for part in parts.iter().filter_map(|(part, _)| self.table.part(*part)) {
                    if let Some(carried) = carried.get_mut(&part.id) {
                        carried.stage = if whole { Stage::Written } else { Stage::Begun };
                    }
                }
            });
            let blocked = !link.output.is_empty();
            while let Some(item) = outbox.take_back(&mut link.output) {
                waiting.push_front(item);
            }
            link.output.shrink(self.limits.kept);
            if blocked || held.waiting.is_empty() {
                break;
            }
        }
        self.close_if_retired(id);
    }

    /// Puts what waits into the output buffer, less what is not to be sent any more.
    fn encode(&mut self, id: LinkId) {
        while let Some(held) = self.nodes.links.get_mut(&id) {
            if held.link.output.len() >= self.limits.turn {
                return;
            }
            let Some(item) = held.waiting.pop_front() else { return };
            let node = held.node;
            let item = match item {
                Item::GiveUp(_) => item,
                Item::Call(parts) => {
                    let grace = self.nodes.slots[node.0 as usize].grace;
                    let drained = grace.is_some_and(|grace| grace <= self.now);
                    let mut live = Vec::new();
                    for (part, no) in parts {
                        if drained || self.table.get(part.of).is_none_or(|multiget| multiget.over) {
                            self.abandon(part, no, Outcome::NeverSent);
                        } else if self.is_out(part, no) {
                            live.push((part, no));
                        }
                    }
                    if live.is_empty() {
                        continue;
                    }
                    Item::Call(live)
                }
            };
            let Some(held) = self.nodes.links.get_mut(&id) else { return };
            let before = held.link.output.len();
            match &item {
                Item::GiveUp(name) => frames::give_up(&mut held.link.output, name),
                Item::Call(parts) => {
                    let asked = parts.iter().filter_map(|(part, no)| {
                        let multiget = self.table.get(part.of)?;
                        let state = &multiget.parts[part.index];
                        let left = state.hand_offs.get(no.0 as usize)?.stop_at - self.now;
                        Some(CallPart {
                            id: &state.id,
                            shard: state.shard.0,
                            wait: left.0.div_ceil(1_000_000),
                            key: multiget.key.as_deref(),
                            text: &multiget.text,
                        })
                    });
                    frames::call(&mut held.link.output, asked);
                }
            }
            held.used = self.now;
            held.outbox.add(held.link.output.len() - before, item);
        }
    }
}
