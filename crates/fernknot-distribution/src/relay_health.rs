//! Detection of stale relays: those whose connection is lost, or whose heartbeats with a lease have stopped for a
//! time-out. Their topics come from a controller instead.

use crate::backoff::Backoff;
use crate::source::Source;
use crate::subscription::{Subscription, Subscriptions};
use crate::timing::Timing;
use fernknot::interface::Nanos;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Largest random extension of a time-out, as a share of [`Timing::stale_after`]; spreads the load on the controllers
/// when a relay fails.
const MAX_TIMEOUT_JITTER_SHARE: f64 = 0.25;

/// Set of stale relays, by address.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayHealth {
    stale: BTreeSet<SocketAddrV4>,
    /// Number of changes of the set.
    version: u64,
}

impl RelayHealth {
    /// Whether the relay is stale.
    pub fn is_stale(&self, relay: SocketAddrV4) -> bool {
        self.stale.contains(&relay)
    }

    /// Number of changes of the set so far.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Marks a relay as stale because its connection is lost.
    pub fn mark_stale(&mut self, relay: SocketAddrV4) {
        self.version += u64::from(self.stale.insert(relay));
    }

    /// Forgets all relays except the given ones.
    pub fn retain(&mut self, relays: &BTreeSet<SocketAddrV4>) {
        let count = self.stale.len();
        self.stale.retain(|relay| relays.contains(relay));
        self.version += u64::from(self.stale.len() != count);
    }

    /// Updates the set of stale relays. A relay becomes stale when its last heartbeat with a lease is older than
    /// [`Timing::stale_after`], or than [`Timing::source_timeout`] while it still sends other messages, plus a random
    /// extension. It is healthy again after it has sent heartbeats with a lease without a gap for
    /// [`Timing::stale_after`].
    pub fn update(
        &mut self,
        now: Nanos,
        relays: &BTreeSet<SocketAddrV4>,
        subscriptions: &Subscriptions,
        backoff: &Backoff,
        timing: &Timing,
    ) {
        for relay in relays {
            let Some(subscription) = subscriptions.get(&Source::relay(*relay)) else { continue };
            let jitter = timing
                .stale_after
                .times(MAX_TIMEOUT_JITTER_SHARE * backoff.random_fraction(relay.port() as u64));
            if self.is_stale(*relay) {
                if has_stable_lease(now, subscription, timing) {
                    self.version += u64::from(self.stale.remove(relay));
                }
            } else if is_lease_overdue(now, subscription, timing, jitter) {
                self.version += u64::from(self.stale.insert(*relay));
            }
        }
    }
}

/// Whether the last heartbeat with a lease is too old: older than [`Timing::stale_after`], or than
/// [`Timing::source_timeout`] for a relay that still sends other messages, plus `jitter`.
fn is_lease_overdue(now: Nanos, subscription: &Subscription, timing: &Timing, jitter: Nanos) -> bool {
    let is_alive = now - subscription.last_message_at <= timing.stale_after && subscription.has_responded;
    let timeout = if is_alive { timing.source_timeout } else { timing.stale_after };
    now - subscription.last_leased_at > timeout + jitter
}

/// Whether heartbeats with a lease have arrived without a gap for [`Timing::stale_after`].
fn has_stable_lease(now: Nanos, subscription: &Subscription, timing: &Timing) -> bool {
    let leased_since = subscription.leased_since.filter(|_| subscription.is_fresh(now, timing.stale_after));
    leased_since.is_some_and(|since| now - since >= timing.stale_after)
}
