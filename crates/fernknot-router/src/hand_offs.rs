//! Hand-offs on connections: placed in calls, given up, ended.

use crate::core::Core;
use crate::ids::LinkId;
use crate::node_link::{Carried, Item, Stage};
use crate::nodes::Nodes;
use fernknot::interface::*;
use slog::debug;
use std::cmp::Reverse;

impl Nodes {
    /// Takes a hand-off that is to go out with this pull.
    pub fn send(&mut self, part: PartId, no: HandOffNo, node: NodeId) {
        self.pulled.entry(node).or_default().push((part, no));
    }

    /// Puts the hand-offs of this pull on connections, in calls as large as may be.
    pub fn place_calls(&mut self, core: &mut Core) {
        for (node, hand_offs) in std::mem::take(&mut self.pulled) {
            for call in hand_offs.chunks(core.facts.batch) {
                let live: Vec<_> =
                    call.iter().copied().filter(|(part, no)| core.engine.table.is_out(*part, *no)).collect();
                if !live.is_empty() {
                    self.place(core, node, live);
                }
            }
        }
    }

    fn place(&mut self, core: &mut Core, node: NodeId, call: Vec<(PartId, HandOffNo)>) {
        let ids: Vec<String> =
            call.iter().filter_map(|(part, _)| Some(core.engine.table.part(*part)?.id.clone())).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        let slot = &self.slots[node.0 as usize];
        let takes = |id: &&LinkId| self.links[id].takes(&names, core.facts.streams);
        let up = |id: &&LinkId| self.links[id].up;
        let free = slot.links.iter().filter(takes).max_by_key(|id| (up(id), Reverse(**id))).copied();
        let Some(id) = free.or_else(|| self.open_link(core, node)) else {
            for (part, no) in call {
                self.end(core, part, no, Outcome::Unreachable, LoadReport::default());
            }
            return;
        };
        let Some(link) = self.links.get_mut(&id) else { return };
        let number = link.next_call;
        link.next_call += 1;
        link.calls.insert(number, call.len());
        for ((part, no), name) in call.iter().zip(ids) {
            link.carried.insert(name, Carried { part: *part, no: *no, call: number, stage: Stage::Waiting });
            self.on.insert((*part, *no), id);
        }
        link.waiting.push_back(Item::Call(call));
        self.dirty.push(id);
    }

    /// Stops waiting for a hand-off. One of which no byte has gone out was never sent; the node is
    /// told to give up any other.
    pub fn abandon(&mut self, core: &mut Core, part: PartId, no: HandOffNo, outcome: Outcome) {
        if !core.engine.table.is_out(part, no) {
            return;
        }
        let link = self.on.get(&(part, no)).copied();
        let name = core.engine.table.part(part).map(|part| part.id.clone()).unwrap_or_default();
        let mut sent = false;
        if let Some((id, link)) = link.and_then(|id| Some((id, self.links.get_mut(&id)?))) {
            sent = link.release(&name).is_some_and(|carried| carried.stage != Stage::Waiting);
            if sent {
                link.given_up.push_back(name.clone());
                if link.given_up.len() > core.limits.max_remembered_cancellations {
                    link.given_up.pop_front();
                }
                link.waiting.push_back(Item::GiveUp(name));
                self.dirty.push(id);
            }
        }
        self.end(core, part, no, if sent { outcome } else { Outcome::NeverSent }, LoadReport::default());
    }

    /// Tells the engine how a hand-off ended.
    pub fn end(
        &mut self,
        core: &mut Core,
        part: PartId,
        no: HandOffNo,
        outcome: Outcome,
        report: LoadReport,
    ) {
        self.on.remove(&(part, no));
        let Some(hand_off) = core.engine.table.hand_off(part, no).filter(|hand_off| !hand_off.over) else {
            return;
        };
        if !matches!(outcome, Outcome::Answered | Outcome::CalledOff | Outcome::NeverSent) {
            let (node, took) = (hand_off.node.0, (core.now - hand_off.sent).as_millis());
            debug!(core.log, "a hand-off failed"; "node" => node, "how" => ?outcome, "took_ms" => took);
        }
        core.engine.ended(core.now, part, no, outcome, report);
    }
}
