//! Which relays are stale, so that their topics are taken from a controller instead.

use crate::backoff::Backoff;
use crate::source::Source;
use crate::subscription::{Subscription, Subscriptions};
use crate::timing::Timing;
use fernknot::interface::Nanos;
use std::collections::BTreeSet;
use std::net::SocketAddrV4;

/// Time-outs are spread by up to this share of [`Timing::stale_after`], so that a zone does not turn to the controllers
/// at once.
const MAX_SPREAD: f64 = 0.25;

/// The relays that are stale.
#[derive(Clone, Debug, Default)]
pub(crate) struct RelayHealth {
    stale: BTreeSet<SocketAddrV4>,
}

impl RelayHealth {
    /// Whether the relay is stale.
    pub fn is_stale(&self, relay: SocketAddrV4) -> bool {
        self.stale.contains(&relay)
    }

    /// The connection to a relay is lost.
    pub fn mark_stale(&mut self, relay: SocketAddrV4) {
        self.stale.insert(relay);
    }

    /// Forgets all relays but these.
    pub fn retain(&mut self, relays: &BTreeSet<SocketAddrV4>) {
        self.stale.retain(|relay| relays.contains(relay));
    }

    /// A relay becomes stale when its heartbeats stop, and is healthy again once they have come with a lease for
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
            let spread = timing.stale_after.times(MAX_SPREAD * backoff.random_fraction(relay.port() as u64));
            if self.is_stale(*relay) {
                if is_steady(now, subscription, timing) {
                    self.stale.remove(relay);
                }
            } else if is_overdue(now, subscription, timing, spread) {
                self.stale.insert(*relay);
            }
        }
    }
}

/// The last heartbeat with a lease is too old. A relay that sends heartbeats without one gets longer.
fn is_overdue(now: Nanos, subscription: &Subscription, timing: &Timing, spread: Nanos) -> bool {
    let is_alive = now - subscription.last_message_at <= timing.stale_after && subscription.has_responded;
    let timeout = if is_alive { timing.source_timeout } else { timing.stale_after };
    now - subscription.last_leased_at > timeout + spread
}

/// Heartbeats with a lease have come without a gap for long enough.
fn is_steady(now: Nanos, subscription: &Subscription, timing: &Timing) -> bool {
    let leased_since = subscription.leased_since.filter(|_| subscription.is_fresh(now, timing.stale_after));
    leased_since.is_some_and(|since| now - since >= timing.stale_after)
}
