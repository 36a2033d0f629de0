//! Statistics of one use case: durations of phases, and the share of blocks that match. The filter of a block is its
//! cached term filter, which may deny that the block matches; a filter that denies a match wrongly is stale.

use crate::recent_durations::RecentDurations;
use crate::term_filter_cache::FilterAnswer;
use fernknot::interface::Nanos;
use fernknot::state::RunningMean;
use fernknot_router_config::{LatencySplit, TwoPhaseSettings};

/// Quantile of the durations of recent second phases that is reserved for a second phase, and so not available to the
/// first.
const RESERVED_TIME_QUANTILE: f64 = 0.9;
/// Quantile used as the typical duration of a second phase: one with less time left is more likely late than not.
const TYPICAL_DURATION_QUANTILE: f64 = 0.5;
/// Quantile used as the minimum duration of a second phase.
const MIN_DURATION_QUANTILE: f64 = 0.05;
/// Number of size classes of second phases. Class `n` has up to 2^`n` parts; the last one has no limit.
const SIZE_CLASSES: usize = 12;
/// Weight of one query in the running means.
const RUNNING_MEAN_GAIN: f64 = 0.05;
/// Match rate assumed before the first query.
const INITIAL_MATCH_RATE: f64 = 0.5;
/// Share of denials by a filter assumed to be wrong before the first query.
const INITIAL_STALE_RATE: f64 = 0.05;
/// Minimum estimate of the chance of a match for a block whose filter contains all terms of the query.
const MIN_CHANCE_IF_FILTER_ALLOWS: f64 = 0.5;

/// Statistics and settings of one use case.
pub(crate) struct UseCaseStatistics {
    /// Settings of the use case.
    pub settings: TwoPhaseSettings,
    first_phases: RecentDurations,
    /// Durations of second phases, indexed by size class.
    second_phases: Vec<RecentDurations>,
    /// Share of a query's candidates that match, from 0 to 1.
    match_rate: RunningMean,
    /// Share of the denials by a block's filter that are wrong, from 0 to 1.
    stale_rate: RunningMean,
}

/// Chances of a match, by the answer of a block's filter.
#[derive(Clone, Copy)]
pub(crate) struct MatchChances {
    match_rate: f64,
    stale_rate: f64,
}

impl MatchChances {
    /// Returns the chance of a match, from 0 to 1, for a block with this filter answer.
    pub fn of(&self, answer: FilterAnswer) -> f64 {
        match answer {
            FilterAnswer::CannotMatch => self.stale_rate,
            FilterAnswer::MayMatch => self.match_rate.max(MIN_CHANCE_IF_FILTER_ALLOWS),
            FilterAnswer::Unknown => self.match_rate,
        }
    }
}

impl UseCaseStatistics {
    /// Returns statistics without any observation.
    pub fn new(now: Nanos, settings: &TwoPhaseSettings) -> UseCaseStatistics {
        UseCaseStatistics {
            settings: settings.clone(),
            first_phases: RecentDurations::new(now),
            second_phases: (0..SIZE_CLASSES).map(|_| RecentDurations::new(now)).collect(),
            match_rate: RunningMean::default(),
            stale_rate: RunningMean::default(),
        }
    }

    /// Returns the current estimates of the chances of a match.
    pub fn match_chances(&self) -> MatchChances {
        MatchChances {
            match_rate: self.match_rate.get().unwrap_or(INITIAL_MATCH_RATE),
            stale_rate: self.stale_rate.get().unwrap_or(INITIAL_STALE_RATE),
        }
    }

    /// Records the share of a query's candidates (the blocks that it may fetch) that matched. Only for queries whose
    /// first phase was answered completely.
    pub fn record_match_rate(&mut self, rate: f64) {
        self.match_rate.add(rate, RUNNING_MEAN_GAIN);
    }

    /// Records for a block whose filter denied a match whether the block matched.
    pub fn record_denied_match(&mut self, matched: bool) {
        self.stale_rate.add_with_prior(
            Some(INITIAL_STALE_RATE),
            f64::from(u8::from(matched)),
            RUNNING_MEAN_GAIN,
        );
    }

    /// Records the duration of a first phase.
    pub fn record_first_phase(&mut self, now: Nanos, took: Nanos) {
        self.first_phases.record(now, took);
    }

    /// Records the duration of a second phase with this number of parts.
    pub fn record_second_phase(&mut self, now: Nanos, parts: usize, took: Nanos) {
        self.second_phases[size_class(parts as f64)].record(now, took);
    }

    /// Returns the time to reserve for a second phase with this number of parts, within the bounds of the settings.
    /// `target` is the latency target, or the client's time-out if that is less.
    pub fn time_to_reserve(&mut self, now: Nanos, parts: f64, target: Nanos) -> Nanos {
        if self.settings.split == LatencySplit::Half {
            return target.times(0.5);
        }
        let second = self.expected_second_phase(now, parts, target);
        // If both phases together exceed the target, it is split in proportion: a shorter first phase would not make
        // the second one finish in time.
        let first = self.first_phases.quantile(now, RESERVED_TIME_QUANTILE).unwrap_or_default();
        let both = (first + second).0.max(1);
        let second = if both > target.0 { target.times(second.0 as f64 / both as f64) } else { second };
        let min = target.times(1.0 - self.settings.max_first_phase_share);
        let max = target.times(1.0 - self.settings.min_first_phase_share);
        second.clamp(min, max)
    }

    /// Returns the expected duration of a second phase: a quantile of recent ones, or, with too few of these, the
    /// middle of the range that the settings allow; 0 if it has no parts.
    fn expected_second_phase(&mut self, now: Nanos, parts: f64, target: Nanos) -> Nanos {
        if parts <= 0.0 {
            return Nanos(0);
        }
        let default = target
            .times(1.0 - (self.settings.min_first_phase_share + self.settings.max_first_phase_share) / 2.0);
        self.second_phase_quantile(now, parts, RESERVED_TIME_QUANTILE).unwrap_or(default)
    }

    /// Returns the minimum duration of a second phase with this number of parts; 0 with too few recent second phases.
    pub fn min_second_phase(&mut self, now: Nanos, parts: usize) -> Nanos {
        self.second_phase_quantile(now, parts as f64, MIN_DURATION_QUANTILE).unwrap_or_default()
    }

    /// Returns the typical duration of a second phase with this number of parts; 0 without parts, or with too few
    /// recent second phases.
    pub fn typical_second_phase(&mut self, now: Nanos, parts: usize) -> Nanos {
        match parts {
            0 => Nanos(0),
            parts => {
                self.second_phase_quantile(now, parts as f64, TYPICAL_DURATION_QUANTILE).unwrap_or_default()
            }
        }
    }

    /// Returns a quantile of the durations of second phases of this size class. Without enough of them it is that of
    /// the nearest smaller class, or else of the nearest larger one.
    fn second_phase_quantile(&mut self, now: Nanos, parts: f64, share: f64) -> Option<Nanos> {
        let class = size_class(parts);
        let mut nearest_first = (0..=class).rev().chain(class + 1..SIZE_CLASSES);
        nearest_first.find_map(|class| self.second_phases[class].quantile(now, share))
    }
}

fn size_class(parts: f64) -> usize {
    (parts.max(1.0).log2().ceil() as usize).min(SIZE_CLASSES - 1)
}
