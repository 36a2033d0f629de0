//! Admission: which queries are accepted, and which are rejected before any of their parts is sent.

use super::*;

/// The share of a target that the delay may fill: at the best earnings, the least, beyond a share.
const FILL_BEST: f64 = 0.65;
const FILL_LEAST: f64 = 0.5;
const FILL_BEYOND: f64 = 0.33;
/// A multiget that would touch more than this share of the nodes at once is tried with one part first
/// while the delay so made fills less than this share of its target.
const WIDE: f64 = 0.5;
const EASY: f64 = 0.4;
/// While the delay that multigets meet fills more than this share of the target in the mean, and that of
/// a second phase as much of what is left, its estimate over all parts must reach the target.
const CROWDED: f64 = 0.2;
/// At any other time a second phase is refused only if it is likelier to fail than not.
const LIKELY: f64 = 0.5;

/// When a part would be answered, where it would go, and the part. The longest delay where it can go nowhere.
type Offer<'a> = (Nanos, Option<Candidate>, &'a Part);

impl Router {
    /// The first look at a multiget: where its parts would go and how long they take. What cannot be in time
    /// is rejected before any is sent, sooner where it earns little or its customer is beyond its share.
    pub(super) fn admit(&mut self, now: Nanos, id: MultigetId) -> bool {
        let Some(multiget) = self.open.get_mut(&id) else { return false };
        multiget.fresh = false;
        let (use_case, customer, second) = (multiget.use_case, multiget.customer, multiget.step_from > 0);
        let left = multiget.target_end - now;
        let (estimate, opened, rest) = (multiget.second, multiget.opened, multiget.until - now);
        let parts = multiget.step().to_vec();
        self.use_cases[use_case.0].work.add(parts.iter().map(|part| part.size).sum(), SIZE_GAIN);
        let offers = self.offer_nodes(now, &parts, left);
        let case = &self.use_cases[use_case.0];
        // The delay by which enough of the parts would be in for an answer.
        let mut reached = opened.map_or(0.0, |step| step.base) + ROUNDING;
        let enough = offers.iter().position(|(_, _, part)| {
            reached += part.weight;
            reached >= case.quorum
        });
        let enough = &offers[..enough.map_or(offers.len(), |last| last + 1)];
        let delay = enough.last().map_or(Nanos(0), |(delay, _, _)| *delay);
        if opened.is_some_and(|step| self.is_second_phase_late(step, enough, rest)) {
            self.rejected_at = Some(now);
            self.give_up(now, id);
            return false;
        }
        // What second phases were promised stands before all that is new. Guards against cheap first phases.
        let place = self.place_of(parts.first().map_or(ShardId(0), |part| part.shard));
        let own = estimate.map_or(0.0, |estimate| {
            estimate.parts
                * self.size_of(case, place, estimate.effort.map(|effort| (effort.0.max(1) as f64).ln()))
        });
        let usual = self.groups.get(place).pace.get().unwrap_or_default();
        let ahead = Nanos((usual * self.promised / self.nodes.len().max(1) as f64) as u64);
        let delay = if second { delay } else { delay + ahead };
        let by_work = self.by_work.then_some(1.0);
        let yields = |case: &UseCase| by_work.or(case.work.get()).map_or(0.0, |work| case.value / work);
        let best = self.use_cases.iter().map(yields).fold(f64::MIN_POSITIVE, f64::max);
        let shed = FILL_LEAST + (FILL_BEST - FILL_LEAST) * yields(case) / best;
        let fill = if self.refusals_cost { 1.0 } else { shed };
        // What is rejected draws nothing from its customer's share. Guards repeats from passing for a flood.
        let share = self.shares.get_mut(customer.0).filter(|_| !second);
        // A client that is short of time by its own doing is refused only what is past hope.
        let aim = case.latency_target;
        let room = |fill: f64| aim.times(fill).min(left);
        if !second {
            self.met.add(delay.min(aim).0 as f64 / aim.0.max(1) as f64, SIZE_GAIN);
        }
        let within = share.is_none_or(|share| delay <= room(fill) && share.draw(now));
        let room = room(if within { fill } else { fill.min(FILL_BEYOND) });
        if !second && delay > room {
            let wait = self.max_retry_after;
            self.ready.push_back(Decision::Reject { multiget: id, retry_after: wait });
            self.rejected_at = Some(now);
            self.end(id);
            return false;
        }
        self.promise(id, own);
        self.send_first_attempts(now, id, offers, delay);
        true
    }

    /// Where each part would go, by its delay; what one part adds to a node's load counts for the next.
    fn offer_nodes<'a>(&self, now: Nanos, parts: &'a [Part], left: Nanos) -> Vec<Offer<'a>> {
        let mut planned = Loads::new();
        let mut offers = Vec::new();
        for part in parts {
            let offer = self.choose(now, part, left, &planned);
            if let Some(offer) = offer {
                *planned.entry(offer.node).or_insert(0.0) += part.size;
            }
            offers.push((offer.map_or(Nanos(u64::MAX), |offer| offer.delay), offer, part));
        }
        offers.sort_by_key(|(delay, _, part)| (*delay, part.id));
        offers
    }

    /// Guards against a second phase that is likelier late than not, and where all is slow against one
    /// that is not likely enough in time: it is refused before any of it is sent.
    fn is_second_phase_late(&self, step: SecondPhaseStart, enough: &[Offer], rest: Nanos) -> bool {
        let delay = enough.last().map_or(Nanos(0), |(delay, _, _)| *delay);
        let chance: f64 = enough.iter().map(|(_, offer, _)| offer.map_or(0.0, |offer| offer.phi)).product();
        let crowded = self.met.get() > Some(CROWDED) && delay > rest.times(CROWDED);
        let level = if crowded { TARGET } else { LIKELY };
        step.needs.is_some_and(|needs| delay.max(needs) > rest || chance < level)
    }

    /// Guards all routers together against multigets that touch most nodes and then fail: while there
    /// is time, the quickest part goes first, and the others once it has answered.
    fn send_first_attempts(&mut self, now: Nanos, id: MultigetId, mut offers: Vec<Offer>, delay: Nanos) {
        let Some(multiget) = self.open.get(&id) else { return };
        let (aim, second) = (self.use_cases[multiget.use_case.0].latency_target, multiget.step_from > 0);
        offers.retain(|(_, offer, _)| offer.is_some());
        let first = offers.first().map_or(Nanos(0), |(delay, _, _)| *delay);
        let wide = offers.len() as f64 > WIDE * self.nodes.len() as f64;
        let scouting = !second && offers.len() > 1 && wide && delay + first <= aim.times(EASY);
        offers.truncate(if scouting { 1 } else { offers.len() });
        self.open.get_mut(&id).into_iter().for_each(|multiget| multiget.scouting = scouting);
        let offered = offers.iter().filter_map(|(_, offer, part)| offer.as_ref().map(|offer| (offer, part)));
        offered.for_each(|(offer, part)| self.send_attempt(now, part.id, offer));
        offers.iter().for_each(|(_, _, part)| self.hedge(now, part.id));
    }
}
