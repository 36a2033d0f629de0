//! Hand-offs, from the module's decision to their end.

use crate::app::{App, Timer};
use crate::node_links::{Carried, Item, LinkId, Stage};
use crate::table::HandOffState;
use fernknot::interface::*;
use slog::debug;
use std::cmp::Reverse;

impl App {
    pub fn hand_off(&mut self, part: PartId, node: NodeId, stop_at: Nanos) {
        let Some(held) = self.table.get_mut(part.of) else { return };
        let stop_at = if stop_at.0 == 0 { held.client_end } else { stop_at.min(held.client_end) };
        let hand_offs = &mut held.parts[part.index].hand_offs;
        let no = HandOffNo(hand_offs.len() as u32);
        let state = HandOffState { node, sent: self.now, stop_at, link: None, over: false };
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

    pub fn is_out(&mut self, part: PartId, no: HandOffNo) -> bool {
        self.table.hand_off(part, no).is_some_and(|hand_off| !hand_off.over)
    }

    fn place(&mut self, node: NodeId, call: Vec<(PartId, HandOffNo)>) {
        let ids: Vec<String> =
            call.iter().filter_map(|(part, _)| Some(self.table.part(*part)?.id.clone())).collect();
        let names: Vec<&str> = ids.iter().map(String::as_str).collect();
        let slot = &self.nodes.slots[node.0 as usize];
        let takes = |id: &&LinkId| self.nodes.links[id].takes(&names, self.facts.streams);
        let up = |id: &&LinkId| self.nodes.links[id].up;
        let free = slot.links.iter().filter(takes).max_by_key(|id| (up(id), Reverse(**id))).copied();
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
    pub fn abandon(&mut self, part: PartId, no: HandOffNo, outcome: Outcome) {
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
    pub fn end(&mut self, part: PartId, no: HandOffNo, outcome: Outcome, report: LoadReport) {
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
}
