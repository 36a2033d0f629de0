//! The few figures that membership goes by, each a ratio to the period of probes.

use fernknot::interface::Nanos;

/// The parts that can be left out, to measure what each is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// All of it.
    Fleet,
    /// SWIM alone: no own lateness, no shrinking doubt, no rounds, no listening after a pause.
    Plain,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub struct FleetFacts {
    /// One other router is probed in each.
    pub period: Nanos,
    /// Datagrams that a router sends in a second at the most, and bytes of one.
    pub datagrams_per_s: f64,
    pub datagram: usize,
    pub variant: Variant,
}

/// A doubt ripens after so many periods: with no other doubter, and with all that are waited for.
const DOUBT_MOST: f64 = 10.0;
const DOUBT_LEAST: f64 = 5.0;
/// So many independent doubters shorten a doubt as far as it goes.
pub(crate) const DOUBTERS: usize = 3;
/// How many others are asked to probe one that does not answer.
pub(crate) const HELPERS: usize = 3;
/// Own lateness is counted up to this, as Lifeguard does.
pub(crate) const LATEST: u32 = 8;
/// A rumour is passed on so many times the binary logarithm of the fleet's size.
pub(crate) const PASSED_ON: f64 = 2.5;
/// One probe of so many goes to a router that is held for lost.
pub(crate) const LOST_TURN: u64 = 4;
/// A view is young for so many periods after the start.
const YOUNG: f64 = 15.0;
/// A router that has heard nobody for so many periods takes itself for cut off.
const DEAF: f64 = 3.0;
/// The share of the fleet whose loss is taken for a split, after which each router shows itself anew.
pub(crate) const SPLIT_SHARE: f64 = 0.25;

impl FleetFacts {
    /// The time of a doubt that so many others share.
    pub(crate) fn doubt(&self, doubters: usize) -> Nanos {
        if self.variant == Variant::Plain {
            return self.period.times(DOUBT_LEAST);
        }
        let shared = (doubters.clamp(1, DOUBTERS) as f64).ln() / (DOUBTERS as f64).ln();
        self.period.times(DOUBT_MOST - (DOUBT_MOST - DOUBT_LEAST) * shared)
    }

    pub(crate) fn young(&self) -> Nanos {
        self.period.times(YOUNG)
    }

    pub(crate) fn deaf(&self) -> Nanos {
        self.period.times(DEAF)
    }
}
