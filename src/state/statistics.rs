//! Running means, failure rates and linear trends.

/// A mean that gives each new figure the same weight.
#[derive(Clone, Copy, Debug, Default)]
pub struct RunningMean(Option<f64>);

impl RunningMean {
    /// Takes in a figure with the weight `gain`, from 0 to 1.
    pub fn add(&mut self, value: f64, gain: f64) {
        self.0 = Some(self.0.map_or(value, |mean| mean + gain * (value - mean)));
    }

    /// The same, from a figure that stands for what came before the first.
    pub fn add_from(&mut self, prior: Option<f64>, value: f64, gain: f64) {
        self.0 = self.0.or(prior);
        self.add(value, gain);
    }

    /// Multiplies the mean.
    pub fn scale(&mut self, factor: f64) {
        self.0 = self.0.map(|mean| mean * factor);
    }

    /// The mean, once there is a figure.
    pub fn get(&self) -> Option<f64> {
        self.0
    }
}

/// How many of so many failed.
#[derive(Clone, Copy, Debug, Default)]
pub struct FailureRate {
    failed: f64,
    all: f64,
}

impl FailureRate {
    /// Counts one.
    pub fn add(&mut self, failed: bool) {
        self.failed += if failed { 1.0 } else { 0.0 };
        self.all += 1.0;
    }

    /// Takes one failure back.
    pub fn take_failure(&mut self) {
        self.failed = (self.failed - 1.0).max(0.0);
        self.all = (self.all - 1.0).max(self.failed);
    }

    /// Halves both counts.
    pub fn halve(&mut self) {
        self.failed /= 2.0;
        self.all /= 2.0;
    }

    /// The share that failed, with `prior` counted as seen `weight` times.
    pub fn share(&self, prior: f64, weight: f64) -> f64 {
        (self.failed + prior * weight) / (self.all + weight)
    }
}

/// Running means of two figures, and how the second moves with the first.
#[derive(Clone, Copy, Debug, Default)]
pub struct LinearTrend {
    /// The mean of the first figure.
    pub x: RunningMean,
    /// The mean of the second.
    pub y: RunningMean,
    spread: f64,
    joint: f64,
}

impl LinearTrend {
    /// Takes in a pair with the weight `gain`, from 0 to 1.
    pub fn add(&mut self, x: f64, y: f64, gain: f64) {
        let dx = x - self.x.get().unwrap_or(x);
        let dy = y - self.y.get().unwrap_or(y);
        self.x.add(x, gain);
        self.y.add(y, gain);
        self.spread += gain * (dx * dx - self.spread);
        self.joint += gain * (dx * dy - self.joint);
    }

    /// The slope, with `prior` counted as seen at a spread of `weight`.
    pub fn slope(&self, prior: f64, weight: f64) -> f64 {
        (self.joint + prior * weight) / (self.spread + weight)
    }
}
