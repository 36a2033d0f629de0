//! Spans of time lately seen, as a histogram that forgets.

use fernknot::interface::Nanos;
use hdrhistogram::Histogram;

/// What is older than twice this is forgotten, what is younger than it counts in full.
const TURN: Nanos = Nanos(4_000_000_000);
/// Spans are kept in microseconds, up to ten minutes, to one significant digit or better: about 3.5 kB in all.
const MOST_US: u64 = 600_000_000;
const DIGITS: u8 = 1;
/// With fewer spans than this nothing is said of their spread.
const ENOUGH: u64 = 8;

/// Two generations in one histogram: `both` counts all, `young` what came since the last turn; at a turn
/// the young ones become all there is.
#[derive(Clone, Debug)]
pub struct Spans {
    both: Histogram<u32>,
    young: Histogram<u32>,
    turned: Nanos,
}

impl Spans {
    pub fn new(now: Nanos) -> Spans {
        let empty = Histogram::new_with_bounds(1, MOST_US, DIGITS).expect("the bounds are sound");
        Spans { both: empty.clone(), young: empty, turned: now }
    }

    fn turn(&mut self, now: Nanos) {
        // After a long silence both generations are old.
        for _ in 0..2 {
            if now - self.turned < TURN {
                return;
            }
            std::mem::swap(&mut self.both, &mut self.young);
            self.young.reset();
            self.turned = if now - self.turned < TURN.times(2.0) { self.turned + TURN } else { now - TURN };
        }
        self.turned = now;
    }

    pub fn record(&mut self, now: Nanos, span: Nanos) {
        self.turn(now);
        let micros = (span.0 / 1000).max(1);
        self.both.saturating_record(micros);
        self.young.saturating_record(micros);
    }

    /// The span under which this share of the recent ones lies, where enough are known.
    pub fn quantile(&mut self, now: Nanos, share: f64) -> Option<Nanos> {
        self.turn(now);
        let enough = self.both.len() >= ENOUGH;
        enough.then(|| Nanos(self.both.value_at_quantile(share).saturating_mul(1000)))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use test_case::test_case;

    const SECOND: u64 = 1_000_000_000;

    #[test_case(0, Some(100); "at once")]
    #[test_case(5, Some(100); "one turn later")]
    #[test_case(9, None; "two turns later")]
    #[test_case(1000, None; "long after")]
    fn what_was_seen_is_forgotten_after_two_turns(later: u64, left: Option<u64>) {
        let start = Nanos(77 * SECOND);
        let mut spans = Spans::new(start);
        for _ in 0..20 {
            spans.record(start, Nanos::from_millis(100.0));
        }
        let seen = spans.quantile(start + Nanos(later * SECOND), 0.5);
        assert_eq!(seen.map(|span| (span.as_millis() / 10.0).round() as u64 * 10), left);
    }

    #[test]
    fn few_spans_say_nothing_and_new_ones_count_beside_old_ones() {
        let mut spans = Spans::new(Nanos(0));
        for index in 0..7 {
            spans.record(Nanos(index), Nanos::from_millis(10.0));
        }
        assert_eq!(spans.quantile(Nanos(7), 0.9), None);
        for index in 0..8 {
            spans.record(Nanos(5 * SECOND + index), Nanos::from_millis(200.0));
        }
        let half = spans.quantile(Nanos(6 * SECOND), 0.4).unwrap().as_millis();
        let most = spans.quantile(Nanos(6 * SECOND), 0.9).unwrap().as_millis();
        assert!(half < 12.0 && most > 180.0, "{half} {most}");
    }
}
