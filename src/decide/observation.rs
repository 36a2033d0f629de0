//! Observations: events that the host reports, of nodes, attempts and other routers.

use super::*;

/// Largest ratio between the size of a part and the mean, either way.
const MAX_SIZE_RATIO: f64 = 8.0;
/// Assumed slope of log latency over log effort, and the variance of log effort at which data weighs as much.
const PRIOR_SLOPE: f64 = 0.5;
const PRIOR_VARIANCE: f64 = 0.1;
/// Weight of one answer in the running means of time per work.
const TIME_PER_WORK_GAIN: f64 = 0.2;
/// Shortest and longest mean wait after a failed request for the node list, in replanning intervals.
const MIN_LIST_WAIT_INTERVALS: f64 = 0.25;
const MAX_LIST_WAIT_INTERVALS: f64 = 0.5;

impl Router {
    /// Applies a node list. Nodes missing from a full list are gone; restarted ones lose their measurements.
    pub fn apply_list(&mut self, kind: ListKind, entries: &[NodeEntry]) {
        if kind == ListKind::Full {
            self.set_all_gone();
        }
        self.list_wait = 0.0;
        for entry in entries {
            let random = &mut self.random;
            let mut new_node = || {
                let started = entry.started_at.0 > 0;
                let deficit = if started { random.fraction() } else { 0.0 };
                Node { cold_allowance: (-deficit, entry.started_at), ..Node::new(entry, &self.empty_bins) }
            };
            let node = self.nodes.entry(entry.node).or_insert_with(&mut new_node);
            if node.started_at != entry.started_at {
                *node = Node { in_flight: std::mem::take(&mut node.in_flight), ..new_node() };
            }
            self.nodes_by_place.move_node(entry.node, node.place, entry.place);
            (node.place, node.health, node.started_at) = (entry.place, entry.health, entry.started_at);
            node.zone = entry.zone;
            self.set_running(entry);
        }
    }

    /// Schedules another request for the node list; random, growing waits keep routers from asking together.
    pub fn list_failed(&mut self, now: Nanos) {
        let spread = 0.5 + self.random.fraction();
        self.list_wait = (self.list_wait * 2.0).clamp(MIN_LIST_WAIT_INTERVALS, MAX_LIST_WAIT_INTERVALS);
        let wait = PLAN_INTERVAL.times(self.list_wait * spread);
        self.list_request_at = self.list_changes_on_request.then_some(now + wait);
    }

    /// Adds a multiget; its parts follow.
    pub fn multiget_arrived(&mut self, now: Nanos, arrival: &Arrival) {
        let Some(case) = self.use_cases.get_mut(arrival.use_case.0) else { return };
        let extension = arrival.effort.unwrap_or_default().times(case.target_work_factor);
        // The target of a retry runs from the first try, whose time follows from the hard limit; unmarked
        // retries show by a short wait. Late retries would otherwise displace new work.
        let wait = arrival.client_deadline - now;
        case.longest_wait = case.longest_wait.max(wait);
        let may_be_retry = arrival.is_retry || self.has_unmarked_retries;
        let is_retry = may_be_retry && wait + self.tick.times(4.0) < case.longest_wait;
        let first_try = if is_retry { now.min(arrival.client_deadline - case.hard_limit) } else { now };
        let end = |after: Nanos| (first_try + after + extension).min(arrival.client_deadline).max(now);
        let target_end = end(case.latency_target);
        let value_end = if case.late_value_share > 0.0 { arrival.client_deadline } else { target_end };
        self.multigets.insert(arrival.multiget, Multiget::new(arrival, target_end, value_end));
        self.budget_use.all.accepted.add(now, 1.0);
        self.review_queue.push_back(arrival.multiget);
        arrival.second_phase.iter().for_each(|phase| self.expect_second_phase(arrival.multiget, *phase));
    }

    /// Updates the estimate of a second phase. The first phase has the target less the second one's expected
    /// duration, and ends at once when the second one's least duration can no longer be in time.
    pub fn expect_second_phase(&mut self, id: MultigetId, estimate: SecondPhaseEstimate) {
        let Some(multiget) = self.multigets.get_mut(&id).filter(|open| open.phase_from == 0) else { return };
        let (target_end, value_end) = multiget.overall_ends;
        multiget.target_end = target_end - estimate.expected_duration;
        multiget.value_end = value_end - estimate.min_duration;
        multiget.second_phase = Some(estimate);
        self.review_queue.push_back(id);
    }

    /// Opens the second phase of a multiget whose first one has ended; its parts follow.
    pub fn begin_second_phase(&mut self, id: MultigetId, phase: SecondPhaseStart) {
        let Some(open) = self.multigets.get_mut(&id).filter(|open| open.phase_from > 0) else { return };
        (open.second_start, open.first_phase_complete) = (Some(phase), phase.first_phase_complete);
        self.review_queue.push_back(id);
    }

    /// Returns the expected work of a part relative to the mean: by its effort, as far as latencies follow
    /// efforts, or else by its use case's service time. Large parts would otherwise make a replica look slow.
    pub(super) fn relative_size(&self, case: &UseCase, at: PlaceId, log_effort: Option<f64>) -> f64 {
        let all = self.groups.get(at).raw_latencies.fastest(FASTEST_SHARE);
        let size = match (log_effort, (case.latencies.fastest(FASTEST_SHARE), all)) {
            (Some(log_effort), _) => {
                let slope = self.effort_trend.slope(PRIOR_SLOPE, PRIOR_VARIANCE).clamp(0.0, 1.0);
                (slope * (log_effort - self.effort_trend.x.get().unwrap_or(log_effort))).exp()
            }
            (None, (Some((own, _)), Some((all, _)))) => own / all,
            _ => 1.0,
        };
        size.clamp(1.0 / MAX_SIZE_RATIO, MAX_SIZE_RATIO)
    }

    /// Adds a part of a multiget, or of its second phase.
    pub fn part_arrived(&mut self, now: Nanos, arrival: &PartArrival) {
        let Some(use_case) = self.multigets.get(&arrival.part.multiget).map(|m| m.use_case) else { return };
        let log_effort = arrival.effort.map(|effort| (effort.0.max(1) as f64).ln());
        let size = self.relative_size(&self.use_cases[use_case.0], self.place_of(arrival.shard), log_effort);
        let case = &mut self.use_cases[use_case.0];
        case.part_size.add(size, MEAN_GAIN);
        let Some(multiget) = self.multigets.get_mut(&arrival.part.multiget) else { return };
        // The first of two phases only reads.
        let effect = if multiget.second_phase.is_some() { Effect::Idempotent } else { case.effect };
        let kind = (use_case, multiget.second_start.is_some());
        multiget.parts.push(Part { log_effort, effect, kind, ..Part::new(arrival, use_case, size) });
        self.budget_use.accept(now, arrival.shard);
        if multiget.phase_parts().len() == 1 {
            self.review_queue.push_back(arrival.part.multiget);
        }
    }

    /// Records the end of an attempt; a further end of the same attempt counts only as a load report.
    pub fn attempt_ended(&mut self, now: Nanos, end: &AttemptEnd) {
        self.load_reported(end.node, end.report);
        let Some(multiget) = self.multigets.get_mut(&end.part.multiget) else { return };
        let Some(part) = multiget.parts.get_mut(end.part.index) else { return };
        let Some(attempt) = part.attempts.get_mut(end.number.0 as usize) else { return };
        if attempt.outcome.replace(end.outcome).is_some() {
            return;
        }
        let attempt = attempt.clone();
        part.answered |= end.outcome == Outcome::Answered && !part.given_up && !multiget.finished;
        self.review_queue.push_back(end.part.multiget);
        let Some(node) = self.nodes.get_mut(&attempt.node) else { return };
        node.in_flight.remove(&(attempt.sent_at, end.part, end.number.0 as usize));
        let group = self.groups.get_mut(node.place);
        let failed = end.outcome != Outcome::Answered;
        if !matches!(end.outcome, Outcome::Cancelled | Outcome::NeverSent) {
            // Latencies alone would make a replica look good that fails fast, and the rate over all kinds of
            // work one that fails a single kind.
            let kind = node.failures_by_kind.entry(part.kind).or_default();
            if attempt.is_miss && part.kind.1 && !failed {
                kind.remove_failure();
            }
            kind.add(failed);
            node.failures.add(failed);
            group.failures.add(failed);
        }
        if !failed {
            let latency = end.duration.0 as f64;
            node.latest_answered_sent_at = node.latest_answered_sent_at.max(attempt.sent_at);
            node.answered_work.add(now, part.size);
            // A late answer replaces the miss that was counted while its attempt was overdue.
            for latencies in [&mut node.latencies, &mut group.latencies] {
                if attempt.is_miss {
                    latencies.remove_miss();
                }
                latencies.add(latency / part.size);
            }
            group.raw_latencies.add(latency);
            if let Some(log_effort) = part.log_effort {
                self.effort_trend.add(log_effort, latency.max(1.0).ln(), MEAN_GAIN);
            }
            self.use_cases[multiget.use_case.0].latencies.add(latency);
            let time_per_work = latency / attempt.work_in_flight;
            group.time_per_work.add(time_per_work, TIME_PER_WORK_GAIN);
            node.time_per_work.add_with_prior(group.time_per_work.get(), time_per_work, TIME_PER_WORK_GAIN);
        }
        if !matches!(end.outcome, Outcome::Cancelled | Outcome::NeverSent) {
            let update = if failed { Update::Failed } else { Update::Answered(end.duration) };
            self.queue_update(now, attempt.node, update);
        }
    }

    /// Records a node's load report, from an answer or a probe.
    pub fn load_reported(&mut self, node: NodeId, report: LoadReport) {
        let node = self.nodes.get_mut(&node).into_iter();
        node.for_each(|node| node.busy_share = report.busy_share.or(node.busy_share));
    }

    /// Applies a peer's updates, which count like own observations, as one router may see little of a node.
    pub fn apply_updates(&mut self, now: Nanos, from: PeerId, updates: &[(NodeId, Update)]) {
        let lost_before = now - self.shortest_target;
        for (id, update) in updates {
            let Some(node) = self.nodes.get_mut(id) else { continue };
            node.peer_attempts.retain(|(_, sent_at, _)| *sent_at >= lost_before);
            let work_in_flight = node.work_in_flight(lost_before) + 1.0;
            let attempt = node.peer_attempts.iter().position(|(peer, _, _)| *peer == from);
            match (*update, attempt) {
                (Update::Sent, _) => node.peer_attempts.push((from, now, work_in_flight)),
                // An overdue attempt counts as work in flight until it is one shortest target old.
                (Update::Overdue, _) => node.latencies.add_miss(),
                (_, attempt) => {
                    let attempt = attempt.map(|index| node.peer_attempts.remove(index));
                    node.failures.add(*update == Update::Failed);
                    if let Update::Answered(duration) = *update {
                        node.latencies.add(duration.0 as f64);
                        let times = attempt.map(|(_, _, work)| duration.0 as f64 / work);
                        let prior = self.groups.get(node.place).time_per_work.get();
                        let mean = &mut node.time_per_work;
                        times.iter().for_each(|time| mean.add_with_prior(prior, *time, TIME_PER_WORK_GAIN));
                    }
                }
            }
        }
    }

    /// Sets the number of routers that share the limits.
    pub fn set_router_count(&mut self, now: Nanos, routers: usize) {
        let factor = self.router_count / routers.max(1) as f64;
        self.router_count = routers.max(1) as f64;
        self.customer_quotas.iter_mut().for_each(|quota| quota.scale(now, factor));
        // More routers get fewer answers each and would overload cold nodes; with fewer, answers grow anyway.
        self.warm_capacity.scale(factor.min(1.0));
    }

    pub(super) fn queue_update(&mut self, now: Nanos, node: NodeId, event: Update) {
        if self.peer_updates {
            self.updates.push((node, event));
            let wait = self.shortest_target.times(if event == Update::Sent { 0.0 } else { DELAY_STEP_SHARE });
            self.notify_at = Some(self.notify_at.map_or(now + wait, |at| at.min(now + wait)));
        }
    }

    /// Finishes a multiget whose client has gone, without a decision to answer it.
    pub fn client_gone(&mut self, id: MultigetId) {
        if self.multigets.get(&id).is_some_and(|multiget| !multiget.finished) {
            self.finish(id);
        }
    }
}
