//! Settings of the protocol, and its constants as multiples of the probe period.

use fernknot::interface::Nanos;

/// Set of enabled protocol features, so that experiments can compare them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// SWIM with Lifeguard's local health and the extensions of `docs/membership.md`.
    Full,
    /// SWIM alone: no local health, no shrinking suspicion time-out, no suspicion rounds, no recovery time after a
    /// stall.
    PlainSwim,
}

/// Settings chosen by the host, which is the program that drives the protocol: a router or an experiment.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct MembershipSettings {
    /// SWIM's protocol period: one other router is probed in each.
    pub probe_period: Nanos,
    /// Maximum number of datagrams sent in any second.
    pub datagrams_per_s: f64,
    /// Maximum size of one datagram, in bytes.
    pub max_datagram_bytes: usize,
    /// Set of enabled protocol features.
    pub variant: Variant,
}

/// Number of accusers beyond which the suspicion time-out does not shrink further: Lifeguard's K.
pub(crate) const MAX_ACCUSERS: usize = 3;
/// Number of routers asked to probe one that does not answer: SWIM's k.
pub(crate) const INDIRECT_PROBES: usize = 3;
/// Number of probes of which one goes to a failed router.
pub(crate) const PROBES_PER_FAILED_MEMBER_PROBE: u64 = 4;
/// Share of all routers, from 0 to 1, whose failure counts as a network partition; after it heals, each router
/// announces itself with a new incarnation.
pub(crate) const PARTITION_SHARE: f64 = 0.25;

/// Probe periods until a suspicion with one accuser times out.
const MAX_SUSPICION_PERIODS: f64 = 10.0;
/// Probe periods until a suspicion with `MAX_ACCUSERS` accusers times out.
const MIN_SUSPICION_PERIODS: f64 = 5.0;
/// Probe periods after a start in which the view is not yet reliable.
const SETTLING_PERIODS: f64 = 15.0;
/// Probe periods without any message after which a router counts itself as isolated.
const ISOLATION_PERIODS: f64 = 3.0;
/// Probe periods after a stall of the host in which nobody is suspected.
const STALL_RECOVERY_PERIODS: f64 = 2.0;
/// Delay of an event-loop iteration, in probe periods, from which the host counts as stalled.
const STALL_THRESHOLD_PERIODS: f64 = 0.5;
/// Probe periods after which an unacknowledged probe is retried through relays.
const DIRECT_PROBE_PERIODS: f64 = 0.4;
/// Probe periods within which a second failed probe of the same router causes a suspicion.
const SECOND_FAILURE_PERIODS: f64 = 6.0;
/// Maximum age, in probe periods, of the requester's last message for an indirect probe to report that it is received.
const RECENT_RECEIPT_PERIODS: f64 = 2.0;

impl MembershipSettings {
    pub(crate) fn is_full(&self) -> bool {
        self.variant == Variant::Full
    }

    /// Time-out of a suspicion with this number of accusers, by Lifeguard's formula.
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

    pub(crate) fn stall_recovery_time(&self) -> Nanos {
        self.probe_period.times(STALL_RECOVERY_PERIODS)
    }

    pub(crate) fn stall_threshold(&self) -> Nanos {
        self.probe_period.times(STALL_THRESHOLD_PERIODS)
    }

    pub(crate) fn direct_probe_timeout(&self) -> Nanos {
        self.probe_period.times(DIRECT_PROBE_PERIODS)
    }

    pub(crate) fn second_failure_window(&self) -> Nanos {
        self.probe_period.times(SECOND_FAILURE_PERIODS)
    }

    pub(crate) fn recent_receipt_window(&self) -> Nanos {
        self.probe_period.times(RECENT_RECEIPT_PERIODS)
    }
}
