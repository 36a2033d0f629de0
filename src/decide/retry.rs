//! Hedged requests, retries of parts, and cancellation of attempts in flight.

use super::*;

/// Gain in probability, and limit of retries as a share of first attempts, for copies of overdue attempts.
const MIN_LATE_GAIN: f64 = 0.75;
const MAX_LATE_SHARE: f64 = 0.05;

impl Router {
    pub(super) fn send_planned_copies(&mut self, now: Nanos, id: PartId) {
        let Some(multiget) = self.multigets.get(&id.multiget) else { return };
        let planned = self.planned_copies.get(&(multiget.parts[id.index].shard, multiget.use_case));
        for _ in 1..planned.copied().unwrap_or(1) {
            let multiget = &self.multigets[&id.multiget];
            let part = &multiget.parts[id.index];
            let node = self.choose_node(now, part, multiget.target_end - now, &Loads::new());
            let may_send = self.may_copy(now, MAX_COPY_SHARE) && self.may_retry_now(now, part);
            let Some(node) = node.filter(|_| may_send && !self.is_shedding(now)) else { return };
            self.send_attempt(now, id, &node);
        }
    }

    /// Retries parts that are overdue, failed or unsent, and cancels the other attempts of answered ones.
    pub(super) fn retry_parts(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.multigets.get(&id) else { return };
        let value_end = multiget.value_end;
        let left = if multiget.target_end > now { multiget.target_end } else { value_end } - now;
        let mut attempts = multiget.phase_parts().iter().flat_map(|part| &part.attempts);
        let is_probing = multiget.is_probing && attempts.all(|sent| !sent.is_miss && sent.outcome.is_none());
        for index in multiget.phase_from..multiget.parts.len() {
            let part = &self.multigets[&id].parts[index];
            if part.answered {
                self.cancel_attempts(part.id);
                continue;
            }
            let is_overdue = |sent: &&Attempt| now - sent.sent_at >= self.overdue_after(sent);
            let (pending, overdue) = (part.pending().count(), part.pending().filter(is_overdue).count());
            if part.given_up || pending > overdue && overdue == 0 {
                continue;
            }
            let part = part.clone();
            self.count_misses(now, &part);
            // A part that fails at one replica goes to another at once, but then backs off: a few rejected
            // parts would otherwise use up their attempts soon and end a multiget of many.
            let failed_recently = part.attempts.iter().skip(1).any(|sent| self.is_recent(now, sent));
            let backs_off = pending == 0 && failed_recently && self.may_retry(now, &part);
            let waits = is_probing && part.attempts.is_empty() || pending > overdue || backs_off;
            if waits || pending > 0 && (pending > 1 || !self.hedging || self.is_shedding(now)) {
                continue;
            }
            // Another replica is tried if it can be in time; beside a silent attempt, only with enough gain.
            let miss = self.miss_probability(now, &part, left);
            let node = self.choose_node(now, &part, left, &Loads::new()).filter(|node| {
                let gains = miss * node.probability >= MIN_LATE_GAIN && self.may_copy(now, MAX_LATE_SHARE);
                now + node.delay < value_end && (pending == 0 || gains)
            });
            match node {
                Some(node) if part.attempts.is_empty() => {
                    self.send_attempt(now, part.id, &node);
                    self.send_planned_copies(now, part.id);
                }
                Some(node) if self.may_retry_now(now, &part) => self.send_attempt(now, part.id, &node),
                _ if pending == 0 && !part.attempts.is_empty() && !self.may_retry(now, &part) => {
                    if let Some(multiget) = self.multigets.get_mut(&id) {
                        multiget.parts[index].given_up = true;
                    }
                }
                _ => {}
            }
        }
    }

    pub(super) fn overdue_after(&self, sent: &Attempt) -> Nanos {
        sent.expected_delay.times(OVERDUE_DELAY_FACTOR).max(self.shortest_target.times(MIN_OVERDUE_SHARE))
    }

    /// Returns the probability that no attempt in flight of a part is answered within `left`.
    pub(super) fn miss_probability(&self, now: Nanos, part: &Part, left: Nanos) -> f64 {
        part.pending().map(|sent| 1.0 - self.answer_probability(now, part, sent, left)).product()
    }

    /// Returns the probability that an attempt in flight is answered within `left`, by all answers that took
    /// longer than it has. Stays high if all are slow, so that no copies add to the overload.
    pub(super) fn answer_probability(&self, now: Nanos, part: &Part, sent: &Attempt, left: Nanos) -> f64 {
        let elapsed = (now - sent.sent_at).0 as f64 / part.size;
        let latencies = &self.groups.get(self.place_of(part.shard)).latencies;
        let before = latencies.count_below(elapsed);
        let within = latencies.count_below(elapsed + left.0 as f64 / part.size) - before;
        within / (latencies.total() - before).max(WEIGHT_TOLERANCE)
    }

    /// Counts overdue attempts of a part as misses of their nodes, as silent nodes show no latencies.
    pub(super) fn count_misses(&mut self, now: Nanos, part: &Part) {
        for (number, sent) in part.attempts.iter().enumerate() {
            if sent.outcome.is_none() && !sent.is_miss && now - sent.sent_at >= self.overdue_after(sent) {
                let place = self.place_of(part.shard);
                self.groups.get_mut(place).latencies.add_miss();
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.latencies.add_miss();
                    // A node may answer first phases fast and stall on second ones.
                    if part.kind.1 {
                        node.failures_by_kind.entry(part.kind).or_default().add(true);
                    }
                    if let Some((_, is_overdue)) = node.in_flight.get_mut(&(sent.sent_at, part.id, number)) {
                        *is_overdue = true;
                    }
                }
                let multiget = self.multigets.get_mut(&part.id.multiget).into_iter();
                multiget.for_each(|open| open.parts[part.id.index].attempts[number].is_miss = true);
                // The fault may be the connection's, not the node's.
                self.decisions.push_back(Decision::RenewConnections { node: sent.node });
                self.queue_update(now, sent.node, Update::Overdue);
            }
        }
    }

    pub(super) fn send_attempt(&mut self, now: Nanos, id: PartId, to: &Candidate) {
        let cold = self.nodes.get(&to.node).filter(|node| self.is_cold(now, node));
        let allowance = cold.and_then(|node| self.cold_allowance(now, node));
        let Some(multiget) = self.multigets.get_mut(&id.multiget) else { return };
        let (use_case, stop_at) = (multiget.use_case, multiget.value_end);
        let part = &mut multiget.parts[id.index];
        let Some(node) = self.nodes.get_mut(&to.node) else { return };
        node.in_flight.insert((now, id, part.attempts.len()), (part.size, false));
        if let Some((allowance, _)) = allowance {
            node.cold_allowance = (allowance - part.size, now);
        }
        if part.attempts.is_empty() {
            self.first_sends.add(now, part.shard);
            *self.sends_since_replan.entry((part.shard, use_case)).or_insert(0.0) += 1.0;
            let random = &mut self.random;
            *self.rotations.entry(part.shard).or_insert_with(|| random.below(1 << 16) as usize) += 1;
        } else {
            self.budget_use.count_retry(now, part.shard);
        }
        let work_in_flight = node.work_in_flight(now - self.shortest_target);
        part.attempts.push(Attempt::new(to, now, work_in_flight));
        self.decisions.push_back(Decision::SendAttempt { part: id, node: to.node, stop_at });
        self.queue_update(now, to.node, Update::Sent);
    }

    pub(super) fn cancel_attempts(&mut self, part: PartId) {
        let Some(open) = self.multigets.get_mut(&part.multiget).filter(|_| self.cancellation) else { return };
        for (no, sent) in open.parts[part.index].attempts.iter_mut().enumerate() {
            if sent.outcome.is_none() && !sent.cancelled {
                sent.cancelled = true;
                self.decisions.push_back(Decision::CancelAttempt { part, number: AttemptNumber(no as u32) });
                if let Some(node) = self.nodes.get_mut(&sent.node) {
                    node.in_flight.remove(&(sent.sent_at, part, no));
                }
            }
        }
    }
}
