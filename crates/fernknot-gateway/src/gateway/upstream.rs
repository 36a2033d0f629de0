//! The nodes' side of a gateway: which nodes there are, what is handed to them, and what comes back.

use super::{Gateway, SeededBug, zone_id};
use crate::asks::{ResponseClass, classify_response, wire};
use crate::lines::ReadOutcome;
use fernknot::interface::*;
use fernknot_net::{ConnectionId, Network};
use fernknot_protocol::http::Response;
use fernknot_registry::{NodeRecord, NodeState};
use std::collections::BTreeMap;

impl Gateway {
    pub(super) fn refresh_all_nodes<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        let services: Vec<String> = self.node_list.services().map(str::to_string).collect();
        self.refresh_nodes(now, services, ports);
    }

    pub(super) fn refresh_changed_nodes<P: Network>(&mut self, now: Nanos, ports: &mut P) {
        let services = self.node_list.take_changed_services();
        self.refresh_nodes(now, services, ports);
    }

    /// Tells the module what differs in the lists of these services.
    fn refresh_nodes<P: Network>(
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
            let shard = self.engine_ids.shard(&service);
            if let Some(engine) = &mut self.engine {
                engine.group(PlaceId(shard.0), self.engine_ids.group(shard));
            }
            let told = self.known_nodes.entry(shard).or_default();
            for fact in self.node_list.nodes_of(&service) {
                let health = match fact.state {
                    NodeState::Ready => Health::Running,
                    NodeState::Draining => Health::Draining,
                    NodeState::Lost | NodeState::Gone => Health::Gone,
                };
                let known = told.get(&fact.id).copied();
                if known.is_none() && health == Health::Gone || known.is_some_and(|(_, was)| was == health) {
                    continue;
                }
                let node = known.map_or(NodeId(self.next_node_id), |(node, _)| node);
                self.next_node_id = self.next_node_id.max(node.0 + 1);
                if health == Health::Gone {
                    close.extend(self.node_connections.remove_endpoint(node));
                    if fact.state == NodeState::Gone {
                        told.remove(&fact.id);
                    } else {
                        told.insert(fact.id.clone(), (node, health));
                    }
                } else {
                    told.insert(fact.id.clone(), (node, health));
                    self.node_connections.add_endpoint(node, &fact.id, fact.addr);
                }
                if health != Health::Running {
                    leaving.push(node);
                }
                let zone = Some(zone_id(&self.settings, &fact.zone));
                entries.push(NodeEntry { node, place: PlaceId(shard.0), zone, health, since: Nanos(0) });
            }
            // Guards against nodes that the list has dropped without a word that they are gone: no well teller names
            // them, and nothing further may be sent to them.
            let pool = &self.node_list;
            let is_held = |id: &str| pool.get(id).is_some_and(|fact| fact.service == service);
            let dropped = told.extract_if(.., |id, _| !is_held(id)).map(|(_, known)| known);
            for (node, _) in dropped.filter(|(_, health)| *health != Health::Gone) {
                close.extend(self.node_connections.remove_endpoint(node));
                leaving.push(node);
                let (place, health) = (PlaceId(shard.0), Health::Gone);
                entries.push(NodeEntry { node, place, zone: None, health, since: Nanos(0) });
            }
            if told.is_empty() {
                self.known_nodes.remove(&shard);
            }
        }
        close.into_iter().for_each(|berth| ports.close(berth));
        // What has not gone out by now may not reach a node that leaves: the connection may take seconds.
        for node in leaving {
            let waiting = self.node_connections.in_flight(Some(node), Nanos(u64::MAX));
            self.abandon_unopened(now, waiting, ports);
        }
        if let Some(engine) = self.engine.as_mut().filter(|_| !entries.is_empty()) {
            let known: usize = self.known_nodes.values().map(BTreeMap::len).sum();
            log::info!(target: "nodes", "{} changes, {known} known", entries.len());
            engine.list(ListKind::Changes, &entries);
        }
    }

    /// Gives up connections that are not up yet. Nothing of what they carry has been sent. Guards against taking one
    /// that was up and is gone, of which this turn has still to tell, for one that never was.
    pub(super) fn abandon_unopened<P: Network>(
        &mut self,
        now: Nanos,
        lines: Vec<ConnectionId>,
        ports: &mut P,
    ) {
        for berth in lines {
            let planted = self.seeded_bug == Some(SeededBug::ClosedCountsAsUnopened) && !ports.is_open(berth);
            if ports.is_opening(berth) || planted {
                self.node_connection_failed(now, berth, Outcome::Unreachable, ports);
            }
        }
    }

    pub(super) fn node_connection_failed<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        outcome: Outcome,
        ports: &mut P,
    ) {
        ports.close(berth);
        let Some((part, no)) = self.node_connections.remove(berth) else { return };
        if outcome == Outcome::Unreachable {
            self.remove_opening_connection(part, berth);
        }
        if let Some(engine) = &mut self.engine {
            engine.ended(now, part, no, outcome, LoadReport::default());
        }
    }

    /// A connection that was begun for this part never came up, and is closed.
    pub(super) fn remove_opening_connection(&mut self, part: PartId, berth: ConnectionId) {
        let ask = self.request_by_multiget.get(&part.of).and_then(|asker| self.requests.get_mut(asker));
        ask.into_iter().for_each(|ask| ask.opening_connections.retain(|opening| *opening != berth));
    }

    pub(super) fn read_node<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        ended: bool,
        ports: &mut P,
    ) {
        let Some(input) = ports.input(berth) else { return };
        match self.node_connections.read(berth, input, ended, &self.http_limits) {
            ReadOutcome::Incomplete => {}
            ReadOutcome::Invalid => {
                self.counters.invalid_responses += 1;
                self.node_connection_failed(now, berth, Outcome::Broken, ports);
            }
            ReadOutcome::Response { part, attempt: no, node, response } => {
                self.handle_response(now, berth, (part, no), node, response, ports)
            }
        }
    }

    /// Takes the answer that had come whole when a connection went.
    pub(super) fn read_remaining_response<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        ports: &mut P,
    ) {
        let Some(rest) = ports.take_unread_input(berth) else { return };
        if let ReadOutcome::Response { part, attempt: no, node, response } =
            self.node_connections.read_remaining(berth, rest, &self.http_limits)
        {
            self.handle_response(now, berth, (part, no), node, response, ports);
        }
    }

    fn handle_response<P: Network>(
        &mut self,
        now: Nanos,
        berth: ConnectionId,
        (part, no): (PartId, HandOffNo),
        node: NodeId,
        mut response: Response,
        ports: &mut P,
    ) {
        response.framed |= self.seeded_bug == Some(SeededBug::TruncatedIsComplete);
        if let Some(told) = response.header("keep-alive").and_then(keep_alive_timeout_s) {
            // Closed a little before the node would, so that nothing is sent into a closing line.
            self.node_idle_timeout = Nanos::from_millis(told as f64 * 1e3).times(0.75);
        }
        let ask = self.request_by_multiget.get(&part.of).and_then(|asker| self.requests.get_mut(asker));
        let verdict = match &ask {
            Some(_) if self.seeded_bug == Some(SeededBug::MatchByConnection) => {
                classify_response(&response, response.header(wire::ATTEMPT_ID).unwrap_or_default())
            }
            Some(ask) => classify_response(&response, &ask.attempt_id),
            None => ResponseClass::Failure,
        };
        if verdict == ResponseClass::Mismatched {
            self.counters.mismatched_responses += 1;
            self.node_connections.remove(berth);
            ports.close(berth);
        } else if !self.node_connections.release(berth, now + self.node_idle_timeout) {
            ports.close(berth);
        }
        let Some(engine) = &mut self.engine else { return };
        let report = LoadReport::default();
        match verdict {
            ResponseClass::Part => {
                if let Some(ask) = ask {
                    ask.add_part(part.index, response);
                }
                engine.answered(now, part, no, String::new(), report);
            }
            ResponseClass::NotExecuted { wrong_node: stranger } => {
                engine.ended(now, part, no, Outcome::TurnedAway, report);
                if stranger {
                    self.counters.wrong_node_responses += 1;
                    self.mark_node_lost(now, node, ports);
                }
            }
            ResponseClass::Failure => {
                if let Some(ask) = ask {
                    ask.record_failure(response);
                }
                engine.ended(now, part, no, Outcome::Error, report);
            }
            ResponseClass::Mismatched => engine.ended(now, part, no, Outcome::Broken, report),
        }
    }

    /// Another life answers at this address: the one that was meant is gone.
    fn mark_node_lost<P: Network>(&mut self, now: Nanos, node: NodeId, ports: &mut P) {
        let Some(life) = self.node_connections.endpoint(node).map(|place| place.incarnation.clone()) else {
            return;
        };
        if let Some(fact) = self.node_list.get(&life).cloned() {
            let gone = NodeRecord { state: NodeState::Lost, ..fact };
            self.node_list.apply_updates(now, &[gone]);
            self.refresh_changed_nodes(now, ports);
        }
    }

    pub(super) fn send_attempt<P: Network>(
        &mut self,
        now: Nanos,
        part: PartId,
        no: HandOffNo,
        node: NodeId,
        ports: &mut P,
    ) -> Result<(), Outcome> {
        let asker = self.request_by_multiget.get(&part.of).ok_or(Outcome::NeverSent)?;
        let ask = self.requests.get_mut(asker).ok_or(Outcome::NeverSent)?;
        let (idle, past) = self.node_connections.take_idle(now, node, &ask.used_connections);
        past.into_iter().for_each(|berth| ports.close(berth));
        let place = self.node_connections.endpoint(node).ok_or(Outcome::NeverSent)?;
        let berth = match idle.filter(|berth| ports.is_open(*berth)) {
            Some(berth) => {
                self.node_connections.assign(berth, part, no);
                ask.was_sent = true;
                berth
            }
            None => {
                let berth = ports.connect(place.addr).map_err(|_| Outcome::Unreachable)?;
                self.counters.connections_opened += 1;
                self.node_connections.insert(now, berth, node, part, no);
                ask.opening_connections.push(berth);
                berth
            }
        };
        if self.seeded_bug != Some(SeededBug::RetryOnSameConnection) {
            ask.used_connections.push(berth);
        }
        self.node_connections.set_expects_no_body(berth, ask.expects_no_body);
        let place = self.node_connections.endpoint(node).ok_or(Outcome::NeverSent)?;
        let out = ports.output(berth).ok_or(Outcome::NeverSent)?;
        ask.write_to_node(out, &place.incarnation, ask.deadline - now);
        Ok(())
    }
}

/// The seconds that a `Keep-Alive` line tells.
fn keep_alive_timeout_s(value: &str) -> Option<u64> {
    let told = value.split(',').find_map(|word| word.trim().strip_prefix("timeout="))?;
    told.trim().parse().ok()
}
