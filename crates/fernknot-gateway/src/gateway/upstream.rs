//! The nodes' side of a gateway: which nodes there are, what is handed to them, and what comes back.

use super::{Gateway, SeededBug, zone_of};
use crate::asks::{ResponseClass, judge, wire};
use crate::lines::ReadOutcome;
use fernknot::interface::*;
use fernknot_net::{ConnectionId, Network};
use fernknot_protocol::http::Response;
use fernknot_registry::{NodeRecord, NodeState};
use std::collections::BTreeMap;

impl Gateway {
    pub(super) fn relist_all<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        let services: Vec<String> = self.pool.services().map(str::to_string).collect();
        self.relist_of(now, services, ports);
    }

    pub(super) fn relist<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        let services = self.pool.take_changed();
        self.relist_of(now, services, ports);
    }

    /// Tells the module what differs in the lists of these services.
    fn relist_of<P: Network>(
        &mut self,
        now: Nanos,
        services: impl IntoIterator<Item = String>,
        ports: &mut P,
    ) {
        if self.engine.is_none() {
            return;
        }
        let mut entries = Vec::new();
        let mut close = Vec::new();
        let mut leaving = Vec::new();
        for service in services {
            let shard = self.names.shard(&service);
            if let Some(engine) = &mut self.engine {
                engine.group(PlaceId(shard.0), self.names.group(shard));
            }
            let told = self.nodes.entry(shard).or_default();
            for fact in self.pool.of(&service) {
                let health = match fact.state {
                    NodeState::Ready => Health::Running,
                    NodeState::Draining => Health::Draining,
                    NodeState::Lost | NodeState::Gone => Health::Gone,
                };
                let known = told.get(&fact.id).copied();
                if known.is_none() && health == Health::Gone || known.is_some_and(|(_, was)| was == health) {
                    continue;
                }
                let node = known.map_or(NodeId(self.next_node), |(node, _)| node);
                self.next_node = self.next_node.max(node.0 + 1);
                if health == Health::Gone {
                    close.extend(self.lines.forget(node));
                    if fact.state == NodeState::Gone {
                        told.remove(&fact.id);
                    } else {
                        told.insert(fact.id.clone(), (node, health));
                    }
                } else {
                    told.insert(fact.id.clone(), (node, health));
                    self.lines.know(node, &fact.id, fact.addr);
                }
                if health != Health::Running {
                    leaving.push(node);
                }
                let zone = Some(zone_of(&self.facts, &fact.zone));
                entries.push(NodeEntry { node, place: PlaceId(shard.0), zone, health, since: Nanos(0) });
            }
            // Guards against nodes that the list has dropped without a word that they are gone: no well teller names
            // them, and nothing further may be sent to them.
            let pool = &self.pool;
            let is_held = |id: &str| pool.get(id).is_some_and(|fact| fact.service == service);
            let dropped = told.extract_if(.., |id, _| !is_held(id)).map(|(_, known)| known);
            for (node, _) in dropped.filter(|(_, health)| *health != Health::Gone) {
                close.extend(self.lines.forget(node));
                leaving.push(node);
                let (place, health) = (PlaceId(shard.0), Health::Gone);
                entries.push(NodeEntry { node, place, zone: None, health, since: Nanos(0) });
            }
            if told.is_empty() {
                self.nodes.remove(&shard);
            }
        }
        close.into_iter().for_each(|berth| ports.close(berth));
        // What has not gone out by now may not reach a node that leaves: the connection may take seconds.
        for node in leaving {
            let waiting = self.lines.carrying(Some(node), Nanos(u64::MAX));
            self.give_up_unopened(now, waiting, ports);
        }
        if let Some(engine) = self.engine.as_mut().filter(|_| !entries.is_empty()) {
            let known: usize = self.nodes.values().map(BTreeMap::len).sum();
            log::info!(target: "nodes", "{} changes, {known} known", entries.len());
            engine.list(ListKind::Changes, &entries);
        }
    }

    /// Gives up connections that are not up yet. Nothing of what they carry has been sent. Guards against taking one
    /// that was up and is gone, of which this turn has still to tell, for one that never was.
    pub(super) fn give_up_unopened<P: Network>(
        &mut self,
        now: Nanos,
        lines: Vec<ConnectionId>,
        ports: &mut P,
    ) {
        for berth in lines {
            let planted = self.plant == Some(SeededBug::GoneIsUnopened) && !ports.is_open(berth);
            if ports.is_opening(berth) || planted {
                self.line_lost(now, berth, Outcome::Unreachable, ports);
            }
        }
    }

    pub(super) fn line_lost<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        outcome: Outcome,
        ports: &mut P,
    ) {
        ports.close(berth);
        let Some((part, no)) = self.lines.lost(berth) else { return };
        if outcome == Outcome::Unreachable {
            self.never_opened(part, berth);
        }
        if let Some(engine) = &mut self.engine {
            engine.ended(now, part, no, outcome, LoadReport::default());
        }
    }

    /// A connection that was begun for this part never came up, and is closed.
    pub(super) fn never_opened(&mut self, part: PartId, berth: ConnectionId) {
        let ask = self.by_multiget.get(&part.of).and_then(|asker| self.asks.get_mut(asker));
        ask.into_iter().for_each(|ask| ask.opening.retain(|opening| *opening != berth));
    }

    pub(super) fn line_came<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        ended: bool,
        ports: &mut P,
    ) {
        let Some(input) = ports.input(berth) else { return };
        match self.lines.read(berth, input, ended, &self.limits) {
            ReadOutcome::Nothing => {}
            ReadOutcome::Spoilt => {
                self.counters.spoilt += 1;
                self.line_lost(now, berth, Outcome::Broken, ports);
            }
            ReadOutcome::Answer { part, no, node, response } => {
                self.answered(now, berth, (part, no), node, response, ports)
            }
        }
    }

    /// Takes the answer that had come whole when a connection went.
    pub(super) fn line_rest<P: Network>(&mut self, now: Nanos, berth: ConnectionId, ports: &mut P) {
        let Some(rest) = ports.take_rest(berth) else { return };
        if let ReadOutcome::Answer { part, no, node, response } =
            self.lines.read_rest(berth, rest, &self.limits)
        {
            self.answered(now, berth, (part, no), node, response, ports);
        }
    }

    fn answered<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        (part, no): (PartId, HandOffNo),
        node: NodeId,
        mut response: Response,
        ports: &mut P,
    ) {
        response.framed |= self.plant == Some(SeededBug::CutShortIsWhole);
        if let Some(told) = response.header("keep-alive").and_then(timeout) {
            // Closed a little before the node would, so that nothing is sent into a closing line.
            self.line_idle = Nanos::from_millis(told as f64 * 1e3).times(0.75);
        }
        let ask = self.by_multiget.get(&part.of).and_then(|asker| self.asks.get_mut(asker));
        let verdict = match &ask {
            Some(_) if self.plant == Some(SeededBug::MatchByConnection) => {
                judge(&response, response.header(wire::ATTEMPT).unwrap_or_default())
            }
            Some(ask) => judge(&response, &ask.attempt),
            None => ResponseClass::Failed,
        };
        if verdict == ResponseClass::Stray {
            self.counters.strays += 1;
            self.lines.lost(berth);
            ports.close(berth);
        } else if !self.lines.rest(berth, now + self.line_idle) {
            ports.close(berth);
        }
        let Some(engine) = &mut self.engine else { return };
        let report = LoadReport::default();
        match verdict {
            ResponseClass::Part => {
                if let Some(ask) = ask {
                    ask.keep(part.index, response);
                }
                engine.answered(now, part, no, String::new(), report);
            }
            ResponseClass::NotRun { stranger } => {
                engine.ended(now, part, no, Outcome::TurnedAway, report);
                if stranger {
                    self.counters.strangers += 1;
                    self.stranger(now, node, ports);
                }
            }
            ResponseClass::Failed => {
                if let Some(ask) = ask {
                    ask.keep_failure(response);
                }
                engine.ended(now, part, no, Outcome::Error, report);
            }
            ResponseClass::Stray => engine.ended(now, part, no, Outcome::Broken, report),
        }
    }

    /// Another life answers at this address: the one that was meant is gone.
    fn stranger<P: Network>(&mut self, now: Nanos, node: NodeId, ports: &mut P) {
        let Some(life) = self.lines.place(node).map(|place| place.life.clone()) else { return };
        if let Some(fact) = self.pool.get(&life).cloned() {
            let gone = NodeRecord { state: NodeState::Lost, ..fact };
            self.pool.take(now, &[gone]);
            self.relist(now, ports);
        }
    }

    pub(super) fn send<P: Network>(
        &mut self,
        now: Nanos,
        part: PartId,
        no: HandOffNo,
        node: NodeId,
        ports: &mut P,
    ) -> Result<(), Outcome> {
        let asker = self.by_multiget.get(&part.of).ok_or(Outcome::NeverSent)?;
        let ask = self.asks.get_mut(asker).ok_or(Outcome::NeverSent)?;
        let (idle, past) = self.lines.idle(now, node, &ask.used);
        past.into_iter().for_each(|berth| ports.close(berth));
        let place = self.lines.place(node).ok_or(Outcome::NeverSent)?;
        let berth = match idle.filter(|berth| ports.is_open(*berth)) {
            Some(berth) => {
                self.lines.carry(berth, part, no);
                ask.offered = true;
                berth
            }
            None => {
                let berth = ports.connect(place.addr).map_err(|_| Outcome::Unreachable)?;
                self.counters.lines_opened += 1;
                self.lines.add(now, berth, node, part, no);
                ask.opening.push(berth);
                berth
            }
        };
        if self.plant != Some(SeededBug::SameLineAgain) {
            ask.used.push(berth);
        }
        self.lines.bodiless(berth, ask.bodiless);
        let place = self.lines.place(node).ok_or(Outcome::NeverSent)?;
        let out = ports.output(berth).ok_or(Outcome::NeverSent)?;
        ask.send(out, &place.life, ask.client_end - now);
        Ok(())
    }
}

/// The seconds that a `Keep-Alive` line tells.
fn timeout(value: &str) -> Option<u64> {
    let told = value.split(',').find_map(|word| word.trim().strip_prefix("timeout="))?;
    told.trim().parse().ok()
}
