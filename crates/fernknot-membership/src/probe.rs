//! The one probe that is under way, whom it is for, and what others ask to have probed.

use crate::member::RouterId;
use fernknot::interface::Nanos;
use fernknot::state::Allowance;
use std::collections::VecDeque;

/// So many probes for others are remembered.
const HELPED: usize = 32;

#[derive(Clone, Debug)]
pub(crate) struct Probe {
    pub of: RouterId,
    pub no: u32,
    pub sent: Nanos,
    /// Others were asked, so many of them.
    pub asked: usize,
    /// Helpers that said that they try.
    pub trying: usize,
    /// What a helper said: it lives, and whether it hears us.
    pub vouched: Option<bool>,
}

/// Probes for others that are under way: our number, who asked, and under which of its numbers.
#[derive(Default)]
pub(crate) struct Helped(VecDeque<(u32, RouterId, u32)>);

impl Helped {
    pub fn add(&mut self, no: u32, asker: RouterId, theirs: u32) {
        if self.0.len() >= HELPED {
            self.0.pop_front();
        }
        self.0.push_back((no, asker, theirs));
    }

    pub fn take(&mut self, no: u32) -> Option<(RouterId, u32)> {
        let index = self.0.iter().position(|(held, _, _)| *held == no)?;
        self.0.remove(index).map(|(_, asker, theirs)| (asker, theirs))
    }
}

/// How many datagrams may go: a burst and a rate that stay together within the stated number in any second.
pub(crate) struct Pace {
    datagrams: Allowance,
    burst: f64,
}

/// The part of the stated number that may go at once.
const BURST: f64 = 0.4;

impl Pace {
    pub fn new(stated: f64, now: Nanos) -> Pace {
        let burst = (stated * BURST).max(1.0);
        Pace { datagrams: Allowance::new((stated - burst).max(0.5), burst, now), burst }
    }

    /// What there has to be for one that leaves so many.
    fn wanted(&self, spare: f64) -> f64 {
        1.0 + spare.min(self.burst - 1.0)
    }

    /// Whether one may go now and so many would be left.
    pub fn may(&mut self, now: Nanos, spare: f64) -> bool {
        self.datagrams.left(now) >= self.wanted(spare)
    }

    pub fn take(&mut self, now: Nanos) {
        self.datagrams.draw(now);
    }

    /// When the next may go.
    pub fn due(&self, spare: f64) -> Nanos {
        self.datagrams.reaches(self.wanted(spare))
    }
}
