//! Recent durations, as a histogram that forgets.

use fernknot::interface::Nanos;
use hdrhistogram::Histogram;

/// Durations younger than this count in full; those older than twice this are forgotten.
const GENERATION: Nanos = Nanos(4_000_000_000);
/// Durations are kept in microseconds, up to ten minutes, to one significant digit or better: about 3.5 kB in all.
const MAX_MICROS: u64 = 600_000_000;
const SIGNIFICANT_DIGITS: u8 = 1;
/// With fewer durations than this no quantile is reported.
const MIN_SAMPLES: u64 = 8;
const NANOS_PER_MICRO: u64 = 1000;

/// Recent durations in two generations: `all` counts both, `young` those since the last rotation. A rotation drops the
/// older generation, so that the young one becomes all there is.
#[derive(Clone, Debug)]
pub struct RecentDurations {
    all: Histogram<u32>,
    young: Histogram<u32>,
    rotated_at: Nanos,
}

impl RecentDurations {
    /// Nothing recorded yet. `now`, here and elsewhere, is the caller's monotonic clock.
    pub fn new(now: Nanos) -> RecentDurations {
        let empty = Histogram::new_with_bounds(1, MAX_MICROS, SIGNIFICANT_DIGITS)
            .expect("constant bounds are valid: 2 * 1 <= MAX_MICROS and at most 5 digits");
        RecentDurations { all: empty.clone(), young: empty, rotated_at: now }
    }

    fn rotate(&mut self, now: Nanos) {
        // After a long silence both generations are old.
        for _ in 0..2 {
            if now - self.rotated_at < GENERATION {
                return;
            }
            std::mem::swap(&mut self.all, &mut self.young);
            self.young.reset();
            let is_one_due = now - self.rotated_at < GENERATION.times(2.0);
            self.rotated_at = if is_one_due { self.rotated_at + GENERATION } else { now - GENERATION };
        }
        self.rotated_at = now;
    }

    /// Records a duration that ended now.
    pub fn record(&mut self, now: Nanos, duration: Nanos) {
        self.rotate(now);
        let micros = (duration.0 / NANOS_PER_MICRO).max(1);
        self.all.saturating_record(micros);
        self.young.saturating_record(micros);
    }

    /// The duration that this share of the recent ones, from 0 to 1, does not exceed; `None` with too few of them.
    pub fn quantile(&mut self, now: Nanos, share: f64) -> Option<Nanos> {
        self.rotate(now);
        let has_enough = self.all.len() >= MIN_SAMPLES;
        has_enough.then(|| Nanos(self.all.value_at_quantile(share).saturating_mul(NANOS_PER_MICRO)))
    }
}
