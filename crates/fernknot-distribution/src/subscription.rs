//! A subscription to one source, and what its heartbeats say of the source.

use crate::source::{Source, SourceHeartbeat};
use crate::topic::Topic;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// The subscriptions of a gateway.
pub(crate) type Subscriptions = BTreeMap<Source, Subscription>;

/// A subscription to one source.
#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    /// All topics of the subscription.
    pub topics: BTreeSet<Topic>,
    /// When the subscription was made.
    pub subscribed_at: Nanos,
    /// When the last message came; at first, the time of subscribing.
    pub last_message_at: Nanos,
    /// When the last heartbeat with a lease came; at first, the time of subscribing.
    pub last_leased_at: Nanos,
    /// Since when heartbeats have come with a lease and without a gap.
    pub leased_since: Option<Nanos>,
    /// A heartbeat has come at all.
    pub has_responded: bool,
    /// The hops of the last heartbeat with a lease.
    pub hops: u8,
}

impl Subscription {
    /// A subscription made now.
    pub fn new(now: Nanos, topics: BTreeSet<Topic>) -> Subscription {
        Subscription {
            topics,
            subscribed_at: now,
            last_message_at: now,
            last_leased_at: now,
            leased_since: None,
            has_responded: false,
            hops: 0,
        }
    }

    /// A heartbeat came from the source.
    pub fn record_heartbeat(&mut self, now: Nanos, heartbeat: &SourceHeartbeat, stale_after: Nanos) {
        self.last_message_at = now;
        self.has_responded = true;
        if heartbeat.has_lease {
            let has_gap = now - self.last_leased_at > stale_after;
            self.last_leased_at = now;
            self.hops = heartbeat.hops;
            self.leased_since = self.leased_since.filter(|_| !has_gap).or(Some(now));
        }
    }

    /// Treats the source as heard of now.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.subscribed_at = now;
        self.last_message_at = now;
        self.last_leased_at = now;
    }

    /// The last heartbeat with a lease is at most this old.
    pub fn is_fresh(&self, now: Nanos, stale_after: Nanos) -> bool {
        self.leased_since.is_some() && now - self.last_leased_at <= stale_after
    }
}
