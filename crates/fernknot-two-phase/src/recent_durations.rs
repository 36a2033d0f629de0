//! Histogram of recent durations.

use fernknot::interface::Nanos;
use hdrhistogram::Histogram;

/// Length of a generation. Durations younger than this are counted; those older than twice this are dropped.
const GENERATION_LENGTH: Nanos = Nanos(4_000_000_000);
/// Longest recorded duration, in microseconds: ten minutes; longer ones count as this.
const MAX_DURATION_MICROS: u64 = 600_000_000;
/// Precision of the histograms, in decimal digits. With one digit, the two histograms of a [`RecentDurations`] take
/// about 3.5 kB together.
const SIGNIFICANT_DIGITS: u8 = 1;
/// Number of recent durations below which [`RecentDurations::quantile`] returns `None`.
const MIN_SAMPLES: u64 = 8;
const NANOS_PER_MICRO: u64 = 1000;

/// Durations of the last four to eight seconds, in two generations of four seconds: `all` counts both, `current` those
/// since the last rotation. A rotation drops the older generation: `current` becomes `all`, and a new generation
/// begins.
#[derive(Clone, Debug)]
pub struct RecentDurations {
    all: Histogram<u32>,
    current: Histogram<u32>,
    rotated_at: Nanos,
}

impl RecentDurations {
    /// Returns an empty histogram. `now`, here and elsewhere, is the caller's monotonic clock.
    pub fn new(now: Nanos) -> RecentDurations {
        let empty = Histogram::new_with_bounds(1, MAX_DURATION_MICROS, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid: 2 * 1 <= MAX_DURATION_MICROS and at most 5 digits");
        RecentDurations { all: empty.clone(), current: empty, rotated_at: now }
    }

    fn rotate(&mut self, now: Nanos) {
        // If both generations are older than their length, two rotations drop both.
        for _ in 0..2 {
            if now - self.rotated_at < GENERATION_LENGTH {
                return;
            }
            std::mem::swap(&mut self.all, &mut self.current);
            self.current.reset();
            let is_one_due = now - self.rotated_at < GENERATION_LENGTH.times(2.0);
            self.rotated_at =
                if is_one_due { self.rotated_at + GENERATION_LENGTH } else { now - GENERATION_LENGTH };
        }
        self.rotated_at = now;
    }

    /// Records a duration that ended now.
    pub fn record(&mut self, now: Nanos, duration: Nanos) {
        self.rotate(now);
        let micros = (duration.0 / NANOS_PER_MICRO).max(1);
        self.all.saturating_record(micros);
        self.current.saturating_record(micros);
    }

    /// Returns the duration that `share` of the recent ones, from 0 to 1, do not exceed; `None` if there are fewer
    /// than eight recent ones. Durations are exact to about one decimal digit.
    pub fn quantile(&mut self, now: Nanos, share: f64) -> Option<Nanos> {
        self.rotate(now);
        let has_enough = self.all.len() >= MIN_SAMPLES;
        has_enough.then(|| Nanos(self.all.value_at_quantile(share).saturating_mul(NANOS_PER_MICRO)))
    }
}
