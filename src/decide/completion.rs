//! Completion: when a query is answered, with which of its parts, and when it is given up.

use super::*;

/// How long before an end the last answer is given, in ticks of the host.
const END_TICKS: f64 = 4.0;
/// A partial answer is held back for one expected to be worth so many times as much.
const WORTH_MORE: f64 = 1.05;

impl Router {
    /// All that is decided of one multiget, in the order in which it matters.
    pub(super) fn review(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        if multiget.ended {
            if multiget.parts.iter().all(|part| part.pending().next().is_none()) {
                self.open.remove(&id);
            }
            return;
        }
        if !multiget.step().is_empty() {
            if multiget.fresh && !self.admit(now, id) {
                return;
            }
            self.retry_parts(now, id);
        }
        let Some(multiget) = self.open.get(&id).filter(|held| !held.ended) else { return };
        let case = &self.use_cases[multiget.use_case.0];
        // An answer has to reach the client, which asked up to a tick before it was heard, and the
        // host looks only once a tick. Guards against partial answers a moment too late.
        let ends = [multiget.target_end, multiget.until, multiget.client_end];
        let ends @ [aim_end, until, client_end] = ends.map(|end| end - self.tick.times(END_TICKS));
        let second = multiget.step_from > 0;
        let whole = if second || multiget.second.is_some() { 1.0 } else { case.required };
        let least = if second && case.quorum >= case.required { 1.0 } else { case.quorum };
        let least = multiget.second.map_or(least, |estimate| estimate.least);
        let weigh = |keep: fn(&Part) -> bool| -> f64 {
            let weights = multiget.step().iter().filter(|part| keep(part)).map(|part| part.weight);
            weights.sum::<f64>() + multiget.opened.map_or(0.0, |step| step.base) + ROUNDING
        };
        let last = until.min(client_end);
        let waits = multiget.step().is_empty();
        let answered = weigh(|part| part.answered);
        let reachable = weigh(|part| part.answered || !part.given_up);
        if answered >= whole {
            self.complete(now, id, !second || multiget.first_whole);
        } else if answered >= least
            && (reachable <= answered || now >= aim_end && !self.gains_late(now, multiget, answered, last))
        {
            self.complete(now, id, false);
        } else if now >= client_end || !waits && (reachable < least || now >= until) {
            self.give_up(now, id);
        } else {
            // Guards against a final answer that comes too late, whatever else is awaited.
            let end = ends.into_iter().find(|at| now < *at).unwrap_or(client_end);
            let pending = multiget.step().iter().filter(|part| !part.answered && !part.given_up);
            let checks = pending.map(|part| self.check_at(now, part));
            self.look_again(id, checks.fold(end, Nanos::min));
        }
    }

    pub(super) fn complete(&mut self, now: Nanos, id: MultigetId, whole: bool) {
        let Some(multiget) = self.open.get_mut(&id) else { return };
        let case = &mut self.use_cases[multiget.use_case.0];
        let last = multiget.step_from > 0 || !case.two_phase && multiget.second.is_none();
        self.ready.push_back(Decision::Complete { multiget: id, complete: whole, last });
        if last {
            return self.end(id);
        }
        let from = multiget.step_from..multiget.parts.len();
        (multiget.step_from, multiget.first_whole, multiget.fresh) = (from.end, whole, true);
        (multiget.target_end, multiget.until) = multiget.whole_ends;
        multiget.second = None;
        let until = multiget.client_end - self.tick.times(END_TICKS);
        self.promise(id, 0.0);
        from.for_each(|index| self.cancel_attempts(PartId { multiget: id, index }));
        self.look_again(id, until.max(now + self.tick));
    }

    /// What cannot be answered any more gets its final answer at once. A dismissal says that asking again is
    /// harmless, so nothing may have run that must not run twice.
    pub(super) fn give_up(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.open.get(&id) else { return };
        let lasts = |part: &&Part| part.effect != Effect::Idempotent;
        let ran = multiget.parts.iter().filter(lasts).any(|part| part.attempts.iter().any(may_have_run));
        self.ready.push_back(if now < multiget.client_end && !ran {
            Decision::Reject { multiget: id, retry_after: self.max_retry_after }
        } else {
            Decision::Abort { multiget: id }
        });
        self.end(id);
    }

    pub(super) fn end(&mut self, id: MultigetId) {
        let Some(multiget) = self.open.get_mut(&id) else { return };
        multiget.ended = true;
        self.promised -= std::mem::take(&mut multiget.promised);
        self.due.remove(&(multiget.look_at, id));
        (0..multiget.parts.len()).for_each(|index| self.cancel_attempts(PartId { multiget: id, index }));
        self.touched.push_back(id);
    }

    /// Whether waiting until `last` promises more than the partial answer that can be given now.
    fn gains_late(&self, now: Nanos, multiget: &Multiget, answered: f64, last: Nanos) -> bool {
        let case = &self.use_cases[multiget.use_case.0];
        let worth = if now < multiget.target_end { case.late_share } else { 1.0 };
        let (mut mean, mut spread) = (answered, 0.0);
        for part in multiget.step().iter().filter(|part| !part.answered) {
            let missed = self.chance_missed(now, part, last - now);
            mean += part.weight * (1.0 - missed);
            spread += part.weight * part.weight * missed * (1.0 - missed);
        }
        case.squared && worth * (mean * mean + spread) > WORTH_MORE * answered * answered
    }

    pub(super) fn look_again(&mut self, id: MultigetId, at: Nanos) {
        if let Some(multiget) = self.open.get_mut(&id) {
            self.due.remove(&(multiget.look_at, id));
            multiget.look_at = at;
            self.due.insert((at, id));
        }
    }

    /// When a part that is not answered must be looked at again.
    pub(super) fn check_at(&self, now: Nanos, part: &Part) -> Nanos {
        let overdue = part.pending().map(|sent| sent.sent + self.patience(sent)).min();
        overdue.filter(|at| *at > now).unwrap_or(now + self.shortest_goal.times(DELAY_STEP))
    }

    /// Counts so much work as promised to the second phase of a multiget.
    pub(super) fn promise(&mut self, id: MultigetId, work: f64) {
        if let Some(multiget) = self.open.get_mut(&id) {
            self.promised = (self.promised + work - std::mem::replace(&mut multiget.promised, work)).max(0.0);
        }
    }
}
