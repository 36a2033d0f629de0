//! Histograms of latencies.

/// Histogram with geometrically growing bins; values above all bins, and missing answers, count as misses.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    first_upper_bound: f64,
    ratio: f64,
    bins: Vec<f64>,
    misses: f64,
}

impl Histogram {
    /// Creates an empty histogram whose first bin ends at `first_upper_bound`, and each next one `ratio` times as
    /// far.
    pub fn new(first_upper_bound: f64, ratio: f64, bins: usize) -> Histogram {
        Histogram { first_upper_bound, ratio, bins: vec![0.0; bins], misses: 0.0 }
    }

    fn upper_bound(&self, bin: usize) -> f64 {
        self.first_upper_bound * self.ratio.powi(bin as i32)
    }

    fn midpoint(&self, bin: usize) -> f64 {
        let lower = if bin == 0 { 0.0 } else { self.upper_bound(bin - 1) };
        (lower + self.upper_bound(bin)) / 2.0
    }

    /// Counts a value.
    pub fn add(&mut self, value: f64) {
        match (0..self.bins.len()).find(|&bin| value <= self.upper_bound(bin)) {
            Some(bin) => self.bins[bin] += 1.0,
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
        for (bin, count) in self.bins.iter().enumerate() {
            let upper = self.upper_bound(bin);
            if value < upper {
                return sum + count * ((value - lower) / (upper - lower)).max(0.0);
            }
            sum += count;
            lower = upper;
        }
        sum
    }

    /// Returns mean and squared coefficient of variation of the fastest `share` of the values, from 0 to 1; `None` if
    /// there are no values. Misses count as the midpoint of the bin that would follow the last.
    pub fn fastest(&self, share: f64) -> Option<(f64, f64)> {
        let mut remaining = self.total() * share;
        let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
        let misses = (self.midpoint(self.bins.len()), self.misses);
        let bins = self.bins.iter().enumerate().map(|(bin, n)| (self.midpoint(bin), *n));
        for (value, n) in bins.chain([misses]) {
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
