//! Completion: when a query is answered, with which of its parts, and when it is given up.

use super::*;

/// Time before a deadline at which the last answer is given, in ticks of the host's clock.
const MARGIN_TICKS: f64 = 4.0;
/// Factor by which the expected value of waiting must exceed that of a partial answer now.
const MIN_WAIT_GAIN: f64 = 1.05;

impl Router {
    /// Makes the decisions due for one multiget: admission, then retries, then completion.
    pub(super) fn review(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.multigets.get(&id) else { return };
        if multiget.finished {
            if multiget.parts.iter().all(|part| part.pending().next().is_none()) {
                self.multigets.remove(&id);
            }
            return;
        }
        if !multiget.phase_parts().is_empty() {
            if multiget.awaits_admission && !self.admit(now, id) {
                return;
            }
            self.retry_parts(now, id);
        }
        let Some(multiget) = self.multigets.get(&id).filter(|multiget| !multiget.finished) else { return };
        let case = &self.use_cases[multiget.use_case.0];
        // The margin covers the way from and to the client, and the time until the host polls, up to a tick.
        let ends = [multiget.target_end, multiget.value_end, multiget.client_deadline];
        let ends @ [target_end, value_end, deadline] = ends.map(|end| end - self.tick.times(MARGIN_TICKS));
        let is_second = multiget.phase_from > 0;
        let complete = if is_second || multiget.second_phase.is_some() { 1.0 } else { case.complete_share };
        let min_share = if is_second && case.quorum >= case.complete_share { 1.0 } else { case.quorum };
        let min_share = multiget.second_phase.map_or(min_share, |estimate| estimate.min_first_phase_share);
        let weigh = |counts: fn(&Part) -> bool| -> f64 {
            let weights = multiget.phase_parts().iter().filter(|part| counts(part)).map(|part| part.weight);
            let known = multiget.second_start.map_or(0.0, |phase| phase.known_share);
            weights.sum::<f64>() + known + WEIGHT_TOLERANCE
        };
        let last = value_end.min(deadline);
        let awaits_parts = multiget.phase_parts().is_empty();
        let answered = weigh(|part| part.answered);
        let reachable = weigh(|part| part.answered || !part.given_up);
        if answered >= complete {
            self.complete(now, id, !is_second || multiget.first_phase_complete);
        } else if answered >= min_share
            && (reachable <= answered || now >= target_end && !self.wait_gains(now, multiget, answered, last))
        {
            self.complete(now, id, false);
        } else if now >= deadline || !awaits_parts && (reachable < min_share || now >= value_end) {
            self.give_up(now, id);
        } else {
            // The review is due at the next of the three ends at the latest, however long attempts take.
            let end = ends.into_iter().find(|at| now < *at).unwrap_or(deadline);
            let pending = multiget.phase_parts().iter().filter(|part| !part.answered && !part.given_up);
            let checks = pending.map(|part| self.next_check_at(now, part));
            self.schedule_review(id, checks.fold(end, Nanos::min));
        }
    }

    pub(super) fn complete(&mut self, now: Nanos, id: MultigetId, is_complete: bool) {
        let Some(open) = self.multigets.get_mut(&id) else { return };
        let case = &mut self.use_cases[open.use_case.0];
        let is_final = open.phase_from > 0 || !case.two_phase && open.second_phase.is_none();
        self.decisions.push_back(Decision::Complete { multiget: id, is_complete, is_final });
        if is_final {
            return self.finish(id);
        }
        let phase = open.phase_from..open.parts.len();
        (open.phase_from, open.first_phase_complete, open.awaits_admission) = (phase.end, is_complete, true);
        (open.target_end, open.value_end) = open.overall_ends;
        open.second_phase = None;
        let end = open.client_deadline - self.tick.times(MARGIN_TICKS);
        self.reserve_work(id, 0.0);
        phase.for_each(|index| self.cancel_attempts(PartId { multiget: id, index }));
        self.schedule_review(id, end.max(now + self.tick));
    }

    /// Ends a multiget that can no longer be answered. A rejection tells the client that a retry is harmless,
    /// so it is given only if nothing may have run that must not run twice.
    pub(super) fn give_up(&mut self, now: Nanos, id: MultigetId) {
        let Some(multiget) = self.multigets.get(&id) else { return };
        let has_effect = |part: &&Part| part.effect != Effect::Idempotent;
        let ran = multiget.parts.iter().filter(has_effect).any(|part| part.attempts.iter().any(may_have_run));
        self.decisions.push_back(if now < multiget.client_deadline && !ran {
            Decision::Reject { multiget: id, retry_after: self.max_retry_after }
        } else {
            Decision::Abort { multiget: id }
        });
        self.finish(id);
    }

    pub(super) fn finish(&mut self, id: MultigetId) {
        let Some(multiget) = self.multigets.get_mut(&id) else { return };
        multiget.finished = true;
        self.reserved_work -= std::mem::take(&mut multiget.reserved_work);
        self.reviews.remove(&(multiget.review_at, id));
        (0..multiget.parts.len()).for_each(|index| self.cancel_attempts(PartId { multiget: id, index }));
        self.review_queue.push_back(id);
    }

    /// Whether the answer at `last` is expected to be worth more than the partial answer available now.
    fn wait_gains(&self, now: Nanos, multiget: &Multiget, answered: f64, last: Nanos) -> bool {
        let case = &self.use_cases[multiget.use_case.0];
        let value = if now < multiget.target_end { case.late_value_share } else { 1.0 };
        let (mut mean, mut variance) = (answered, 0.0);
        for part in multiget.phase_parts().iter().filter(|part| !part.answered) {
            let miss = self.miss_probability(now, part, last - now);
            mean += part.weight * (1.0 - miss);
            variance += part.weight * part.weight * miss * (1.0 - miss);
        }
        case.squares_partial_value && value * (mean * mean + variance) > MIN_WAIT_GAIN * answered * answered
    }

    pub(super) fn schedule_review(&mut self, id: MultigetId, at: Nanos) {
        if let Some(multiget) = self.multigets.get_mut(&id) {
            self.reviews.remove(&(multiget.review_at, id));
            multiget.review_at = at;
            self.reviews.insert((at, id));
        }
    }

    /// Returns the time of a part's next review: when an attempt becomes overdue, or else in one delay step.
    pub(super) fn next_check_at(&self, now: Nanos, part: &Part) -> Nanos {
        let overdue_at = part.pending().map(|sent| sent.sent_at + self.overdue_after(sent)).min();
        overdue_at.filter(|at| *at > now).unwrap_or(now + self.shortest_target.times(DELAY_STEP_SHARE))
    }

    pub(super) fn reserve_work(&mut self, id: MultigetId, work: f64) {
        if let Some(open) = self.multigets.get_mut(&id) {
            let previous = std::mem::replace(&mut open.reserved_work, work);
            self.reserved_work = (self.reserved_work + work - previous).max(0.0);
        }
    }
}
