//! Histograms of latencies.

/// Spans in coarse bins, each wider than the one before by the same ratio; misses lie past all.
#[derive(Clone, Debug, Default)]
pub struct Histogram {
    first: f64,
    ratio: f64,
    bins: Vec<f64>,
    misses: f64,
}

impl Histogram {
    /// An empty histogram whose first bin ends at `first`, each next one `ratio` times as far.
    pub fn new(first: f64, ratio: f64, bins: usize) -> Histogram {
        Histogram { first, ratio, bins: vec![0.0; bins], misses: 0.0 }
    }

    fn upper(&self, bin: usize) -> f64 {
        self.first * self.ratio.powi(bin as i32)
    }

    fn middle(&self, bin: usize) -> f64 {
        let lower = if bin == 0 { 0.0 } else { self.upper(bin - 1) };
        (lower + self.upper(bin)) / 2.0
    }

    /// Counts a value.
    pub fn add(&mut self, value: f64) {
        match (0..self.bins.len()).find(|&bin| value <= self.upper(bin)) {
            Some(bin) => self.bins[bin] += 1.0,
            None => self.misses += 1.0,
        }
    }

    /// Counts a value past all bins.
    pub fn add_miss(&mut self) {
        self.misses += 1.0;
    }

    /// Takes one miss back.
    pub fn take_miss(&mut self) {
        self.misses = (self.misses - 1.0).max(0.0);
    }

    /// Halves all counts.
    pub fn halve(&mut self) {
        self.bins.iter_mut().for_each(|count| *count /= 2.0);
        self.misses /= 2.0;
    }

    /// How many values count, misses among them.
    pub fn total(&self) -> f64 {
        self.bins.iter().sum::<f64>() + self.misses
    }

    /// How many lie under `value`, evenly spread within a bin.
    pub fn under(&self, value: f64) -> f64 {
        let mut sum = 0.0;
        let mut lower = 0.0;
        for (bin, count) in self.bins.iter().enumerate() {
            let upper = self.upper(bin);
            if value < upper {
                return sum + count * ((value - lower) / (upper - lower)).max(0.0);
            }
            sum += count;
            lower = upper;
        }
        sum
    }

    /// Mean and squared coefficient of variation of the fastest `share`; misses count as the top.
    pub fn fastest(&self, share: f64) -> Option<(f64, f64)> {
        let mut left = self.total() * share;
        let (mut count, mut sum, mut squares) = (0.0, 0.0, 0.0);
        let past = (self.middle(self.bins.len()), self.misses);
        let filled = self.bins.iter().enumerate().map(|(bin, n)| (self.middle(bin), *n));
        for (value, n) in filled.chain([past]) {
            let n = n.min(left);
            left -= n;
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
