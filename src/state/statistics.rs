//! Running means, failure rates and linear trends.

/// Exponentially weighted mean.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean(Option<f64>);

impl RunningMean {
    /// Adds a value with the weight `gain`, from 0 to 1.
    pub fn add(&mut self, value: f64, gain: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + gain * (value - mean)));
    }

    /// Adds a value as [`add`](Self::add) does; before the first one, the mean is `prior`.
    pub fn add_with_prior(&mut self, prior: Option<f64>, value: f64, gain: f64) {
        self.0 = self.0.or(prior);
        self.add(value, gain);
    }

    /// Multiplies the mean by a factor.
    pub fn scale(&mut self, factor: f64) {
        self.0 = self.0.map(|mean| mean * factor);
    }

    /// Returns the mean; `None` before the first value.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}

/// Counts of failures and of all events.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    failures: f64,
    total: f64,
}

impl FailureRate {
    /// Counts an event.
    pub fn add(&mut self, failed: bool) {
        self.failures += if failed { 1.0 } else { 0.0 };
        self.total += 1.0;
    }

    /// Removes one failure.
    pub fn remove_failure(&mut self) {
        self.failures = (self.failures - 1.0).max(0.0);
        self.total = (self.total - 1.0).max(self.failures);
    }

    /// Halves both counts.
    pub fn halve(&mut self) {
        self.failures /= 2.0;
        self.total /= 2.0;
    }

    /// Returns the share of failures, from 0 to 1, with `weight` further events of which the share `prior` failed.
    pub fn share(&self, prior: f64, weight: f64) -> f64 {
        (self.failures + prior * weight) / (self.total + weight)
    }
}

/// Running means of two variables, and the regression of the second on the first.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearTrend {
    /// Mean of the first variable.
    pub x: RunningMean,
    /// Mean of the second variable.
    pub y: RunningMean,
    variance_x: f64,
    covariance: f64,
}

impl LinearTrend {
    /// Adds a pair with the weight `gain`, from 0 to 1.
    pub fn add(&mut self, x: f64, y: f64, gain: f64) {
        let dx = x - self.x.get().unwrap_or(x);
        let dy = y - self.y.get().unwrap_or(y);
        self.x.add(x, gain);
        self.y.add(y, gain);
        self.variance_x += gain * (dx * dx - self.variance_x);
        self.covariance += gain * (dx * dy - self.covariance);
    }

    /// Returns the slope, where `prior` counts like observations of x with the variance `weight`.
    pub fn slope(&self, prior: f64, weight: f64) -> f64 {
        (self.covariance + prior * weight) / (self.variance_x + weight)
    }
}
