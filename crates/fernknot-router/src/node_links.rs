//! Connections to data nodes: calls out, answers in.

use crate::core::Core;
use crate::ids::{LinkId, Source, Timer};
use crate::link::{Filled, Link};
use crate::node_link::{Carried, Item, NodeLink, Stage};
use crate::nodes::Nodes;
use calloop::Readiness;
use fernknot::interface::*;
use fernknot_engine::PartOf;
use fernknot_protocol::frames::{self, CallPart, CallPhase, CallStatus, Frame};
use fernknot_protocol::outbox::Outbox;
use slog::{debug, warn};
use std::collections::{HashMap, VecDeque};

impl Nodes {
    pub fn open_link(&mut self, core: &mut Core, node: NodeId) -> Option<LinkId> {
        if self.links.len() >= core.limits.max_node_connections {
            let idle = self.links.iter().filter(|(_, link)| link.is_idle());
            let oldest = idle.map(|(id, link)| (link.used, *id)).min();
            self.close_link(core, oldest?.1);
        }
        let id = LinkId(self.next_link);
        self.next_link += 1;
        let address = self.slots[node.0 as usize].address;
        let link = match Link::connect(&core.handle, address, Source::Node(id)) {
            Ok(link) => link,
            Err(error) => {
                core.counters.node_connects_failed += 1;
                debug!(core.log, "no connection"; "node" => %address, "why" => error.to_string());
                return None;
            }
        };
        let due = core.now + core.limits.connect_timeout;
        let idle_at = core.now + core.limits.node_idle_timeout;
        core.timers.insert((due, Timer::Link(id)));
        core.timers.insert((idle_at, Timer::NodeIdle(id)));
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
            used: core.now,
            heard: core.now,
            idle_at,
            due: Some(due),
        };
        self.links.insert(id, opened);
        self.slots[node.0 as usize].links.push(id);
        Some(id)
    }

    pub fn node_ready(&mut self, core: &mut Core, id: LinkId, readiness: Readiness) {
        let Some(held) = self.links.get_mut(&id) else { return };
        if !held.up {
            match held.link.connected() {
                Ok(true) => {
                    held.up = true;
                    core.counters.node_connections += 1;
                    if let Some(due) = held.due.take() {
                        core.timers.remove(&(due, Timer::Link(id)));
                    }
                }
                Ok(false) => return,
                Err(_) => {
                    core.counters.node_connects_failed += 1;
                    return self.link_broken(core, id);
                }
            }
        }
        held.link.readable |= readiness.readable || readiness.error;
        self.dirty.push(id);
        self.read_node(core, id);
    }

    pub fn read_more_nodes(&mut self, core: &mut Core) {
        for id in std::mem::take(&mut self.more) {
            self.read_node(core, id);
        }
    }

    fn read_node(&mut self, core: &mut Core, id: LinkId) {
        let Some(held) = self.links.get_mut(&id) else { return };
        // Room for one frame whole, so that it can be read.
        let before = held.link.input.len();
        let filled = held.link.fill(core.limits.max_frame_bytes + core.limits.read_ahead_bytes);
        if held.link.input.len() > before {
            held.heard = core.now;
        }
        let ended = held.link.ended;
        let mut fresh = false;
        loop {
            let Some(held) = self.links.get_mut(&id) else { return };
            let read = frames::read(&mut held.link.input, &core.limits);
            fresh |= matches!(read, Ok(Some(_)));
            match read {
                Ok(Some(Frame::Response { id: name, status: end, load: report, value })) => {
                    if !self.answered(core, id, &name, end, report, value) {
                        return self.bad_frame(core, id, "an answer to what was never sent");
                    }
                }
                Ok(Some(Frame::HealthCheckResponse)) => {}
                Ok(Some(Frame::Rejected(words))) => return self.bad_frame(core, id, &words),
                Ok(None) => {
                    held.link.input.shrink(core.limits.idle_buffer_bytes);
                    self.watch_rest(core, id, fresh);
                    break;
                }
                Err(error) => return self.bad_frame(core, id, &error.to_string()),
            }
        }
        match filled {
            Ok(Filled::Some) => self.more.push(id),
            Ok(Filled::All) if !ended => self.close_if_retired(core, id),
            _ => self.link_broken(core, id),
        }
    }

    fn bad_frame(&mut self, core: &mut Core, id: LinkId, why: &str) {
        core.counters.frames_bad += 1;
        if let Some(held) = self.links.get(&id) {
            let address = self.slots[held.node.0 as usize].address;
            warn!(core.log, "a connection is closed"; "node" => %address, "why" => why.to_string());
        }
        // The node lives and has spoken. Guards against taking it for one that a multiget brought down.
        self.link_lost(core, id, Outcome::Error);
    }

    /// Takes an answer; false if nothing here asked for it.
    fn answered(
        &mut self,
        core: &mut Core,
        id: LinkId,
        name: &str,
        end: CallStatus,
        report: LoadReport,
        value: Vec<u8>,
    ) -> bool {
        let Some(held) = self.links.get_mut(&id) else { return false };
        held.used = core.now;
        if held.carried.get(name).is_none_or(|carried| carried.stage == Stage::Waiting) {
            let late = held.given_up.iter().position(|given_up| given_up == name);
            late.map(|index| held.given_up.remove(index));
            core.counters.answers_late += u64::from(late.is_some());
            return late.is_some();
        }
        let Some(carried) = held.release(name) else { return false };
        let (part, no) = (carried.part, carried.no);
        match (end, String::from_utf8(value)) {
            (CallStatus::Success, Ok(value)) => {
                self.on.remove(&(part, no));
                core.engine.answered(core.now, part, no, value, report);
            }
            // A value that is no text cannot be passed on as it is.
            (CallStatus::Success, Err(_)) | (CallStatus::Fault, _) => {
                self.end(core, part, no, Outcome::Error, report)
            }
            (CallStatus::Overload, _) => self.end(core, part, no, Outcome::TurnedAway, report),
        }
        true
    }

    fn close_if_retired(&mut self, core: &mut Core, id: LinkId) {
        if self.links.get(&id).is_some_and(|held| held.old && held.is_idle()) {
            self.close_link(core, id);
        }
    }

    /// The connection is no more: what was written whole may have run, anything else has not.
    fn link_broken(&mut self, core: &mut Core, id: LinkId) {
        self.link_lost(core, id, Outcome::Broken);
    }

    fn link_lost(&mut self, core: &mut Core, id: LinkId, written: Outcome) {
        let Some(held) = self.close_link(core, id) else { return };
        let mut carried: Vec<Carried> = held.carried.into_values().collect();
        carried.sort_by_key(|carried| (carried.part, carried.no));
        for Carried { part, no, stage, .. } in carried {
            // What has not begun was never on a connection that was up: it goes to the same node by
            // another. Guards against connections that the node closes between calls.
            if stage == Stage::Waiting && held.up {
                self.pulled.entry(held.node).or_default().push((part, no));
                continue;
            }
            let outcome = if stage == Stage::Written { written } else { Outcome::Unreachable };
            self.end(core, part, no, outcome, LoadReport::default());
        }
    }

    pub fn close_link(&mut self, core: &mut Core, id: LinkId) -> Option<NodeLink> {
        let held = self.links.remove(&id)?;
        core.timers.remove(&(held.idle_at, Timer::NodeIdle(id)));
        if let Some(due) = held.due {
            core.timers.remove(&(due, Timer::Link(id)));
        }
        self.slots[held.node.0 as usize].links.retain(|link| *link != id);
        Some(held)
    }

    pub fn link_late(&mut self, core: &mut Core, id: LinkId) {
        let Some(held) = self.links.get_mut(&id) else { return };
        held.due = None;
        if held.up {
            return self.bad_frame(core, id, "a frame that never came whole");
        }
        core.counters.node_connects_failed += 1;
        self.link_broken(core, id);
    }

    /// What has come without being a whole frame must become one in time. Guards against a length
    /// that swallows all later answers, and against taking what nobody asked for as the head of one.
    fn watch_rest(&mut self, core: &mut Core, id: LinkId, fresh: bool) {
        let Some(held) = self.links.get_mut(&id) else { return };
        let rest = !held.link.input.is_empty();
        if rest && held.carried.is_empty() && held.given_up.is_empty() {
            return self.bad_frame(core, id, "more than was asked for");
        }
        if let Some(due) = held.due.take_if(|_| fresh || !rest) {
            core.timers.remove(&(due, Timer::Link(id)));
        }
        if rest && held.due.is_none() {
            let due = core.now + core.limits.frame_timeout;
            held.due = Some(due);
            core.timers.insert((due, Timer::Link(id)));
        }
    }

    /// Closes an idle connection before the node does: what is sent on one that the node closes
    /// meanwhile may have run, for all that is known.
    pub fn node_idle(&mut self, core: &mut Core, id: LinkId) {
        let Some(held) = self.links.get_mut(&id) else { return };
        let idle = held.is_idle();
        if idle && held.used + core.limits.node_idle_timeout <= core.now {
            core.counters.node_connections_idle_closed += 1;
            self.close_link(core, id);
            return;
        }
        let from = if idle { held.used } else { core.now };
        held.idle_at = from + core.limits.node_idle_timeout;
        core.timers.insert((held.idle_at, Timer::NodeIdle(id)));
    }

    /// Takes those connections out of use on which nothing has come since the first of what is out.
    pub fn renew_links(&mut self, core: &mut Core, node: NodeId) {
        for id in &self.slots[node.0 as usize].links {
            let Some(held) = self.links.get_mut(id) else { continue };
            let sent = held.carried.values().filter(|carried| carried.stage == Stage::Written);
            let first = sent.filter_map(|carried| {
                core.engine.table.hand_off(carried.part, carried.no).map(|hand_off| hand_off.sent)
            });
            held.old |= first.min().is_some_and(|first| held.heard <= first);
        }
    }

    pub fn flush_nodes(&mut self, core: &mut Core) {
        for id in std::mem::take(&mut self.dirty) {
            self.flush_node(core, id);
        }
    }

    fn flush_node(&mut self, core: &mut Core, id: LinkId) {
        while self.links.get(&id).is_some_and(|held| held.up) {
            self.encode(core, id);
            let Some(held) = self.links.get_mut(&id) else { return };
            let Ok(count) = held.link.flush() else { return self.link_broken(core, id) };
            let NodeLink { outbox, carried, link, waiting, .. } = held;
            outbox.record_written(count, |item, whole| {
                let Item::Call(parts) = item else { return };
                for part in parts.iter().filter_map(|(part, _)| core.engine.table.part(*part)) {
                    if let Some(carried) = carried.get_mut(&part.id) {
                        carried.stage = if whole { Stage::Written } else { Stage::Begun };
                    }
                }
            });
            let blocked = !link.output.is_empty();
            while let Some(item) = outbox.pop_unwritten(&mut link.output) {
                waiting.push_front(item);
            }
            link.output.shrink(core.limits.idle_buffer_bytes);
            if blocked || held.waiting.is_empty() {
                break;
            }
        }
        self.close_if_retired(core, id);
    }

    /// Puts what waits into the output buffer, less what is not to be sent any more.
    fn encode(&mut self, core: &mut Core, id: LinkId) {
        while let Some(held) = self.links.get_mut(&id) {
            if held.link.output.len() >= core.limits.read_ahead_bytes {
                return;
            }
            let Some(item) = held.waiting.pop_front() else { return };
            let node = held.node;
            let item = match item {
                Item::GiveUp(_) => item,
                Item::Call(parts) => {
                    let grace = self.slots[node.0 as usize].grace;
                    let drained = grace.is_some_and(|grace| grace <= core.now);
                    let mut live = Vec::new();
                    for (part, no) in parts {
                        if drained || core.engine.table.get(part.of).is_none_or(|multiget| multiget.over) {
                            self.abandon(core, part, no, Outcome::NeverSent);
                        } else if core.engine.table.is_out(part, no) {
                            live.push((part, no));
                        }
                    }
                    if live.is_empty() {
                        continue;
                    }
                    Item::Call(live)
                }
            };
            let Some(held) = self.links.get_mut(&id) else { return };
            let before = held.link.output.len();
            match &item {
                Item::GiveUp(name) => frames::write_cancel(&mut held.link.output, name),
                Item::Call(parts) => {
                    let asked = parts.iter().filter_map(|(part, no)| {
                        let multiget = core.engine.table.get(part.of)?;
                        let state = &multiget.parts[part.index];
                        let left = state.hand_offs.get(no.0 as usize)?.stop_at - core.now;
                        Some(CallPart {
                            id: &state.id,
                            shard: state.shard.0,
                            timeout_ms: left.0.div_ceil(1_000_000),
                            key: multiget.key(state),
                            phase: match state.of {
                                PartOf::Plain => None,
                                PartOf::Match => {
                                    let version = core.engine.phases().version(state.shard);
                                    Some(CallPhase::Match { version })
                                }
                                PartOf::Fetch => Some(CallPhase::Fetch),
                            },
                            text: multiget.text(state),
                        })
                    });
                    frames::write_call(&mut held.link.output, asked);
                }
            }
            held.used = core.now;
            held.outbox.push(held.link.output.len() - before, item);
        }
    }
}
