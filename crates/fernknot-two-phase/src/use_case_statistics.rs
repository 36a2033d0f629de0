//! What earlier queries of one use case taught: how long phases take, and how many blocks match.

use crate::recent_durations::RecentDurations;
use crate::term_filter_cache::FilterAnswer;
use fernknot::interface::Nanos;
use fernknot::state::RunningMean;
use fernknot_router_config::{LatencySplit, TwoPhaseSettings};

/// The first phase leaves as much time as this share of the recent second phases of the size took at most.
const NEEDED_QUANTILE: f64 = 0.9;
/// A second phase that has not even the time that this share took is likelier late than not.
const LIKELY_QUANTILE: f64 = 0.5;
/// No second phase of its size was quicker than this share of the recent ones.
const LEAST_QUANTILE: f64 = 0.05;
/// Second phases are distinguished by their number of parts, in so many powers of two.
const SIZE_CLASSES: usize = 12;
/// The weight of one query in the running means.
const GAIN: f64 = 0.05;
/// The match rate before anything is known.
const INITIAL_MATCH_RATE: f64 = 0.5;
/// The rate at which filters are stale before anything is known.
const INITIAL_STALE_RATE: f64 = 0.05;
/// The least chance of a match for a block whose filter allows one.
const MIN_CHANCE_IF_FILTER_ALLOWS: f64 = 0.5;

/// The statistics of one use case, and its settings.
pub(crate) struct UseCaseStatistics {
    /// The settings of the use case.
    pub settings: TwoPhaseSettings,
    first_phases: RecentDurations,
    /// By size class.
    second_phases: Vec<RecentDurations>,
    /// The share of blocks that match.
    match_rate: RunningMean,
    /// The share of blocks that match although their filter denied it.
    stale_rate: RunningMean,
}

/// The chances of a match, by the answer of a block's filter.
#[derive(Clone, Copy)]
pub(crate) struct MatchChances {
    match_rate: f64,
    stale_rate: f64,
}

impl MatchChances {
    /// The chance of a match for a block with this filter answer.
    pub fn of(&self, answer: FilterAnswer) -> f64 {
        match answer {
            FilterAnswer::CannotMatch => self.stale_rate,
            FilterAnswer::MayMatch => self.match_rate.max(MIN_CHANCE_IF_FILTER_ALLOWS),
            FilterAnswer::Unknown => self.match_rate,
        }
    }
}

impl UseCaseStatistics {
    /// Nothing is known yet.
    pub fn new(now: Nanos, settings: &TwoPhaseSettings) -> UseCaseStatistics {
        UseCaseStatistics {
            settings: settings.clone(),
            first_phases: RecentDurations::new(now),
            second_phases: (0..SIZE_CLASSES).map(|_| RecentDurations::new(now)).collect(),
            match_rate: RunningMean::default(),
            stale_rate: RunningMean::default(),
        }
    }

    /// The chances by what is known now.
    pub fn match_chances(&self) -> MatchChances {
        MatchChances {
            match_rate: self.match_rate.get().unwrap_or(INITIAL_MATCH_RATE),
            stale_rate: self.stale_rate.get().unwrap_or(INITIAL_STALE_RATE),
        }
    }

    /// Of all candidates of a query whose first phase was answered in full, this share matched.
    pub fn record_match_rate(&mut self, rate: f64) {
        self.match_rate.add(rate, GAIN);
    }

    /// A block whose filter denied a match was asked; whether it matched.
    pub fn record_denied_match(&mut self, matched: bool) {
        self.stale_rate.add_with_prior(Some(INITIAL_STALE_RATE), f64::from(u8::from(matched)), GAIN);
    }

    /// A first phase took so long.
    pub fn record_first_phase(&mut self, now: Nanos, took: Nanos) {
        self.first_phases.record(now, took);
    }

    /// A second phase with so many parts took so long.
    pub fn record_second_phase(&mut self, now: Nanos, parts: usize, took: Nanos) {
        self.second_phases[size_class(parts as f64)].record(now, took);
    }

    /// The time to keep for a second phase of so many parts, within the bounds of the settings. `target` is the
    /// latency target, or the client's time-out if that is less.
    pub fn time_to_keep(&mut self, now: Nanos, parts: f64, target: Nanos) -> Nanos {
        if self.settings.split == LatencySplit::Half {
            return target.times(0.5);
        }
        let second = self.expected_second_phase(now, parts, target);
        // Where both phases are long, each gets its share: the first one is not cut short for a second one that could
        // not be in time either.
        let first = self.first_phases.quantile(now, NEEDED_QUANTILE).unwrap_or_default();
        let both = (first + second).0.max(1);
        let second = if both > target.0 { target.times(second.0 as f64 / both as f64) } else { second };
        let least = target.times(1.0 - self.settings.max_first_phase_share);
        let greatest = target.times(1.0 - self.settings.min_first_phase_share);
        second.clamp(least, greatest)
    }

    /// By what such second phases took; without any, the middle of what the settings leave.
    fn expected_second_phase(&mut self, now: Nanos, parts: f64, target: Nanos) -> Nanos {
        if parts <= 0.0 {
            return Nanos(0);
        }
        let middle = target
            .times(1.0 - (self.settings.min_first_phase_share + self.settings.max_first_phase_share) / 2.0);
        self.second_phase_quantile(now, parts, NEEDED_QUANTILE).unwrap_or(middle)
    }

    /// The least time that a second phase of so many parts takes, as far as is known.
    pub fn least_second_phase(&mut self, now: Nanos, parts: usize) -> Nanos {
        self.second_phase_quantile(now, parts as f64, LEAST_QUANTILE).unwrap_or_default()
    }

    /// The time that a second phase of so many parts likely takes, as far as is known.
    pub fn likely_second_phase(&mut self, now: Nanos, parts: usize) -> Nanos {
        match parts {
            0 => Nanos(0),
            parts => self.second_phase_quantile(now, parts as f64, LIKELY_QUANTILE).unwrap_or_default(),
        }
    }

    /// A quantile of the second phases of this size, or of the nearest known size, smaller ones first.
    fn second_phase_quantile(&mut self, now: Nanos, parts: f64, share: f64) -> Option<Nanos> {
        let class = size_class(parts);
        let mut nearest_first = (0..=class).rev().chain(class + 1..SIZE_CLASSES);
        nearest_first.find_map(|class| self.second_phases[class].quantile(now, share))
    }
}

fn size_class(parts: f64) -> usize {
    (parts.max(1.0).log2().ceil() as usize).min(SIZE_CLASSES - 1)
}
