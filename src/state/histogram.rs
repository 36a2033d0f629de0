//! Histograms of latencies.

use std::sync::Arc;

/// Upper bounds and midpoints of the bins of a histogram, shared by all histograms that were copied from one.
#[derive(Debug, Default)]
struct BinLayout {
    upper_bounds: Vec<f64>,
    /// Midpoints of the bins, and of the one that would follow the last.
    midpoints: Vec<f64>,
}

impl BinLayout {
    /// Creates the layout of bins of which the first ends at `first_upper_bound`, and each next one `ratio` times as
    /// far.
    fn new(first_upper_bound: f64, ratio: f64, bins: usize) -> BinLayout {
        let upper_bound = |bin: usize| first_upper_bound * ratio.powi(bin as i32);
        let lower_bound = |bin: usize| if bin == 0 { 0.0 } else { upper_bound(bin - 1) };
        BinLayout {
            upper_bounds: (0..bins).map(upper_bound).collect(),
            midpoints: (0..=bins).map(|bin| (lower_bound(bin) + upper_bound(bin)) / 2.0).collect(),
        }
    }
}

/// Histogram with geometrically growing bins; values above all bins, and missing answers, count as misses.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    layout: Arc<BinLayout>,
    /// Number of values in each bin; without entries before the first value, as most nodes of a large system have none.
    bins: Vec<f64>,
    misses: f64,
}

impl Histogram {
    /// Creates an empty histogram whose first bin ends at `first_upper_bound`, and each next one `ratio` times as
    /// far.
    pub fn new(first_upper_bound: f64, ratio: f64, bins: usize) -> Histogram {
        let layout = Arc::new(BinLayout::new(first_upper_bound, ratio, bins));
        Histogram { layout, bins: Vec::new(), misses: 0.0 }
    }

    /// Counts a value.
    pub fn add(&mut self, value: f64) {
        match self.layout.upper_bounds.iter().position(|upper| value <= *upper) {
            Some(bin) => {
                self.bins.resize(self.layout.upper_bounds.len(), 0.0);
                self.bins[bin] += 1.0;
            }
            None => self.misses += 1.0,
        }
    }

    /// Counts a miss.
    pub fn add_miss(&mut self) {
        self.misses += 1.0;
    }

    /// Removes one miss.
    pub fn remove_miss(&mut self) {
        self.misses = (self.misses - 1.0).max(0.0);
    }

    /// Halves all counts.
    pub fn halve(&mut self) {
        self.bins.iter_mut().for_each(|count| *count /= 2.0);
        self.misses /= 2.0;
    }

    /// Returns the number of values, misses included.
    pub fn total(&self) -> f64 {
        self.bins.iter().sum::<f64>() + self.misses
    }

    /// Returns the number of values below `value`, interpolated linearly within its bin.
    pub fn count_below(&self, value: f64) -> f64 {
        let mut sum = 0.0;
        let mut lower = 0.0;
        for (count, upper) in self.bins.iter().zip(&self.layout.upper_bounds) {
            if value < *upper {
                return sum + count * ((value - lower) / (upper - lower)).max(0.0);
            }
            sum += count;
            lower = *upper;
        }
        sum
    }

    /// Returns mean and squared coefficient of variation of the fastest `share` of the values, from 0 to 1; `None` if
    /// there are no values. Misses count as the midpoint of the bin that would follow the last.
    pub fn fastest(&self, share: f64) -> Option<(f64, f64)> {
        let mut remaining = self.total() * share;
        let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
        let after_last = self.layout.midpoints.last().copied().unwrap_or_default();
        let values = self.layout.midpoints.iter().copied().zip(self.bins.iter().copied());
        for (value, n) in values.chain([(after_last, self.misses)]) {
            let n = n.min(remaining);
            remaining -= n;
            count += n;
            sum += n * value;
            squares += n * value * value;
        }
        (count > 0.0).then(|| {
            let mean = sum / count;
            (mean, (squares / count / (mean * mean) - 1.0).max(0.0))
        })
    }
}
