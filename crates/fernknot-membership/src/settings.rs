//! The settings of the protocol, and its tuning constants as multiples of the probe period.

use fernknot::interface::Nanos;

/// Which parts of the protocol are on, so that experiments can measure what each is worth.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// SWIM with Lifeguard's local health and the extensions of `docs/membership.md`.
    Full,
    /// SWIM alone: no local health, no shrinking suspicion, no rounds, no listening after a pause.
    PlainSwim,
}

/// What a host sets.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipSettings {
    /// SWIM's protocol period: one other router is probed in each.
    pub probe_period: Nanos,
    /// The maximum of datagrams sent in any second.
    pub datagrams_per_s: f64,
    /// The maximum size of one datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Which parts of the protocol are on.
    pub variant: Variant,
}

/// Accusers beyond which a suspicion times out no sooner: Lifeguard's K.
pub(crate) const MAX_ACCUSERS: usize = 3;
/// Routers asked to probe one that does not answer: SWIM's k.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// One probe turn in so many goes to a router that counts as failed.
pub(crate) const PROBE_TURNS_PER_FAILED_PROBE: u64 = 4;
/// The share of all routers whose loss is taken for a network partition; after it heals, each router announces itself
/// with a new incarnation.
pub(crate) const PARTITION_SHARE: f64 = 0.25;

/// Periods until a suspicion times out, with one accuser and with `MAX_ACCUSERS`.
const MAX_SUSPICION_PERIODS: f64 = 10.0;
const MIN_SUSPICION_PERIODS: f64 = 5.0;
/// Periods after a start in which the view is not yet reliable.
const SETTLING_PERIODS: f64 = 15.0;
/// Periods without any message after which a router takes itself for isolated.
const ISOLATION_PERIODS: f64 = 3.0;
/// Periods of listening after the host stalled.
const LISTENING_PERIODS: f64 = 2.0;
/// The part of a period by which a turn of the host's loop may be late before the host counts as stalled.
const STALL_PERIODS: f64 = 0.5;
/// The part of a period after which an unanswered probe is retried through others.
const DIRECT_PROBE_PERIODS: f64 = 0.4;
/// Periods within which a second failed probe of the same router makes a suspicion.
const SECOND_FAILURE_PERIODS: f64 = 6.0;
/// Periods within which a requester must have been heard for an indirect probe to confirm that it is heard.
const RECENTLY_HEARD_PERIODS: f64 = 2.0;

impl MembershipSettings {
    pub(crate) fn is_full(&self) -> bool {
        self.variant == Variant::Full
    }

    /// How long a suspicion with so many accusers lasts, by Lifeguard's formula.
    pub(crate) fn suspicion_timeout(&self, accusers: usize) -> Nanos {
        if !self.is_full() {
            return self.probe_period.times(MIN_SUSPICION_PERIODS);
        }
        let shrinkage = (accusers.clamp(1, MAX_ACCUSERS) as f64).ln() / (MAX_ACCUSERS as f64).ln();
        let periods = MAX_SUSPICION_PERIODS - (MAX_SUSPICION_PERIODS - MIN_SUSPICION_PERIODS) * shrinkage;
        self.probe_period.times(periods)
    }

    pub(crate) fn settling_time(&self) -> Nanos {
        self.probe_period.times(SETTLING_PERIODS)
    }

    pub(crate) fn isolation_timeout(&self) -> Nanos {
        self.probe_period.times(ISOLATION_PERIODS)
    }

    pub(crate) fn listening_time(&self) -> Nanos {
        self.probe_period.times(LISTENING_PERIODS)
    }

    pub(crate) fn stall_threshold(&self) -> Nanos {
        self.probe_period.times(STALL_PERIODS)
    }

    pub(crate) fn direct_probe_timeout(&self) -> Nanos {
        self.probe_period.times(DIRECT_PROBE_PERIODS)
    }

    pub(crate) fn second_failure_window(&self) -> Nanos {
        self.probe_period.times(SECOND_FAILURE_PERIODS)
    }

    pub(crate) fn recently_heard_window(&self) -> Nanos {
        self.probe_period.times(RECENTLY_HEARD_PERIODS)
    }
}
