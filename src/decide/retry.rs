//! Hedged requests, retries of parts, and the cancellation of attempts still in flight.

use super::*;

/// A late copy goes out if it raises the chance of an answer in time by this much.
const LATE_GAIN: f64 = 0.75;
/// Late ones are sent only while all copies are under this share.
const LATE_SHARE: f64 = 0.05;

impl Router {
    /// The planned copies of a part that has just been handed off, as the design has it.
    pub(super) fn hedge(&mut self, now: Nanos, id: PartId) {
        let Some(multiget) = self.open.get(&id.multiget) else { return };
        let planned = self.plan.get(&(multiget.parts[id.index].shard, multiget.use_case));
        for _ in 1..planned.copied().unwrap_or(1) {
            let multiget = &self.open[&id.multiget];
            let part = &multiget.parts[id.index];
            let offer = self.choose(now, part, multiget.target_end - now, &Loads::new());
            let may = self.may_copy(now, COPY_SHARE) && self.may_send_further(now, part);
            let Some(offer) = offer.filter(|_| may && !self.is_shedding(now)) else { return };
            self.send_attempt(now, id, &offer);
        }
    }

    /// Looks after parts not answered, overdue, failed or without a replica, and twins of answered ones.
    pub(super) fn retry_parts(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        let until = multiget.until;
        let left = if multiget.target_end > now { multiget.target_end } else { until } - now;
        let mut sent = multiget.step().iter().flat_map(|part| &part.attempts);
        let scouting = multiget.scouting && sent.all(|sent| !sent.missed && sent.outcome.is_none());
        for index in multiget.step_from..multiget.parts.len() {
            let part = &self.open[&id].parts[index];
            if part.answered {
                self.cancel_attempts(part.id);
                continue;
            }
            let late = |sent: &Attempt| now - sent.sent >= self.patience(sent);
            let (out, overdue) = (part.pending().count(), part.pending().filter(|sent| late(sent)).count());
            if part.given_up || out > overdue && overdue == 0 {
                continue;
            }
            let part = part.clone();
            self.count_misses(now, &part);
            // A part that fails at one replica goes to another at once, but then has to wait. Guards a
            // multiget of many parts against ending with all of them for a few that were turned away.
            let lately = part.attempts.iter().skip(1).any(|sent| self.is_fresh(now, sent));
            let waits = out == 0 && lately && self.may_yet(now, &part);
            let held = scouting && part.attempts.is_empty() || out > overdue || waits;
            if held || out > 0 && (out > 1 || !self.hedging || self.is_shedding(now)) {
                continue;
            }
            // Guards against failures and silence: another is tried if in time, beside the first if likelier.
            let missed = self.chance_missed(now, &part, left);
            let offer = self.choose(now, &part, left, &Loads::new()).filter(|offer| {
                let gains = missed * offer.phi >= LATE_GAIN && self.may_copy(now, LATE_SHARE);
                now + offer.delay < until && (out == 0 || gains)
            });
            match offer {
                Some(offer) if part.attempts.is_empty() => {
                    self.send_attempt(now, part.id, &offer);
                    self.hedge(now, part.id);
                }
                Some(offer) if self.may_send_further(now, &part) => self.send_attempt(now, part.id, &offer),
                _ if out == 0 && !part.attempts.is_empty() && !self.may_yet(now, &part) => {
                    if let Some(multiget) = self.open.get_mut(&id) {
                        multiget.parts[index].given_up = true;
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn patience(&self, sent: &Attempt) -> Nanos {
        sent.expected.times(OVERDUE).max(self.shortest_goal.times(OVERDUE_GOAL))
    }

    /// The chance that no attempt of a part that is still out is answered within `left`.
    pub(super) fn chance_missed(&self, now: Nanos, part: &Part, left: Nanos) -> f64 {
        part.pending().map(|sent| 1.0 - self.chance_in_time(now, part, sent, left)).product()
    }

    /// The chance that an attempt still out is answered within `left`, by all answers that took as
    /// long. Guards a jam against being fed with copies, and what is late against passing for lost.
    pub(super) fn chance_in_time(&self, now: Nanos, part: &Part, sent: &Attempt, left: Nanos) -> f64 {
        let waited = (now - sent.sent).0 as f64 / part.size;
        let latencies = &self.groups.get(self.place_of(part.shard)).latencies;
        let before = latencies.under(waited);
        let by_then = latencies.under(waited + left.0 as f64 / part.size) - before;
        by_then / (latencies.total() - before).max(ROUNDING)
    }

    /// A silent replica shows no latency, so what is overdue counts as a miss while it is still out.
    pub(super) fn count_misses(&mut self, now: Nanos, part: &Part) {
        for (no, sent) in part.attempts.iter().enumerate() {
            if sent.outcome.is_none() && !sent.missed && now - sent.sent >= self.patience(sent) {
                let place = self.place_of(part.shard);
                self.groups.get_mut(place).latencies.add_miss();
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.latencies.add_miss();
                    // Guards against a store that answers what matches and stalls on what is fetched.
                    if part.kind.1 {
                        node.kinds.entry(part.kind).or_default().add(true);
                    }
                    if let Some((_, overdue)) = node.out.get_mut(&(sent.sent, part.id, no)) {
                        *overdue = true;
                    }
                }
                let open = self.open.get_mut(&part.id.multiget).into_iter();
                open.for_each(|open| open.parts[part.id.index].attempts[no].missed = true);
                // Guards a sound node against a connection that has fallen silent.
                self.ready.push_back(Decision::RenewConnections { node: sent.node });
                self.notify(now, sent.node, Update::Overdue);
            }
        }
    }

    pub(super) fn send_attempt(&mut self, now: Nanos, id: PartId, offer: &Candidate) {
        let cold = self.nodes.get(&offer.node).filter(|node| self.is_cold(now, node));
        let room = cold.and_then(|node| self.cold_room(now, node));
        let Some(multiget) = self.open.get_mut(&id.multiget) else { return };
        let (use_case, stop_at) = (multiget.use_case, multiget.until);
        let part = &mut multiget.parts[id.index];
        let Some(node) = self.nodes.get_mut(&offer.node) else { return };
        node.out.insert((now, id, part.attempts.len()), (part.size, false));
        if let Some((room, _)) = room {
            node.cold_room = (room - part.size, now);
        }
        if part.attempts.is_empty() {
            self.first_sends.add(now, 1.0);
            *self.sends.entry((part.shard, use_case)).or_insert(0.0) += 1.0;
            let chance = &mut self.random;
            *self.turns.entry(part.shard).or_insert_with(|| chance.under(1 << 16) as usize) += 1;
        } else {
            self.budget_use.count_retry(now, part.shard);
        }
        let ahead = node.holds(now - self.shortest_goal);
        part.attempts.push(Attempt::new(offer, now, ahead));
        self.ready.push_back(Decision::SendAttempt { part: id, node: offer.node, stop_at });
        self.notify(now, offer.node, Update::Sent);
    }

    pub(super) fn cancel_attempts(&mut self, part: PartId) {
        let Some(multiget) = self.open.get_mut(&part.multiget).filter(|_| self.cancel) else { return };
        for (no, sent) in multiget.parts[part.index].attempts.iter_mut().enumerate() {
            if sent.outcome.is_none() && !sent.cancelled {
                sent.cancelled = true;
                self.ready.push_back(Decision::CancelAttempt { part, number: AttemptNumber(no as u32) });
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.out.remove(&(sent.sent, part, no));
                }
            }
        }
    }
}
