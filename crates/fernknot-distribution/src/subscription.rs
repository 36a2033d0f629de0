//! Subscription to one source, and the liveness of that source.

use crate::source::{Source, SourceHeartbeat};
use crate::topic::Topic;
use fernknot::interface::Nanos;
use std::collections::{BTreeMap, BTreeSet};

/// Subscriptions of a gateway.
pub(crate) type Subscriptions = BTreeMap<Source, Subscription>;

/// Subscription to one source.
#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    /// All topics of the subscription.
    pub topics: BTreeSet<Topic>,
    /// Time of subscribing, or of the last [`Self::reset_liveness`].
    pub subscribed_at: Nanos,
    /// Time of the last message; initially the time of subscribing.
    pub last_message_at: Nanos,
    /// Time of the last heartbeat with a lease; initially the time of subscribing.
    pub last_leased_at: Nanos,
    /// Start of the current series of heartbeats with a lease that has no gap longer than `Timing::stale_after`;
    /// `None` before the first of them.
    pub leased_since: Option<Nanos>,
    /// Time at which the last heartbeat with a lease arrived, and start of the series of such heartbeats that it belongs
    /// to; `None` before the first one, and after [`Self::reset_liveness`].
    lease_series: Option<LeaseSeries>,
    /// Whether any heartbeat has arrived.
    pub has_responded: bool,
    /// Number of hops of the last heartbeat with a lease.
    pub hops: u8,
}

/// Heartbeats with a lease that arrived without a gap.
#[derive(Clone, Copy, Debug)]
struct LeaseSeries {
    started_at: Nanos,
    last_at: Nanos,
}

impl Subscription {
    /// Creates a subscription at time `now`.
    pub fn new(now: Nanos, topics: BTreeSet<Topic>) -> Subscription {
        Subscription {
            topics,
            subscribed_at: now,
            last_message_at: now,
            last_leased_at: now,
            leased_since: None,
            lease_series: None,
            has_responded: false,
            hops: 0,
        }
    }

    /// Records a heartbeat from the source.
    pub fn record_heartbeat(&mut self, now: Nanos, heartbeat: &SourceHeartbeat, stale_after: Nanos) {
        self.last_message_at = now;
        self.has_responded = true;
        if heartbeat.has_lease {
            let has_gap = now - self.last_leased_at > stale_after;
            self.last_leased_at = now;
            self.hops = heartbeat.hops;
            self.leased_since = self.leased_since.filter(|_| !has_gap).or(Some(now));
            let series = self.lease_series.filter(|_| !has_gap);
            let started_at = series.map_or(now, |series| series.started_at);
            self.lease_series = Some(LeaseSeries { started_at, last_at: now });
        }
    }

    /// Whether the last heartbeat with a lease was sent recently. The first of a series may have waited in a buffer while
    /// this process stalled or the connection was interrupted, and so may others that arrive together with it: only those
    /// that arrive `min_spacing` later or more are known to be recent.
    pub fn is_last_lease_recent(&self, min_spacing: Nanos) -> bool {
        self.lease_series.is_some_and(|series| series.last_at - series.started_at >= min_spacing)
    }

    /// Whether a heartbeat with a lease arrived within `period`. Unlike [`Self::is_fresh`], false after
    /// [`Self::reset_liveness`] until the next one.
    pub fn has_sent_lease_within(&self, now: Nanos, period: Nanos) -> bool {
        self.lease_series.is_some_and(|series| now - series.last_at <= period)
    }

    /// Restarts the time-outs of the source, as if it had sent a heartbeat with a lease now. This confirms nothing.
    pub fn reset_liveness(&mut self, now: Nanos) {
        self.subscribed_at = now;
        self.last_message_at = now;
        self.last_leased_at = now;
        self.lease_series = None;
    }

    /// Whether the last heartbeat with a lease is at most `stale_after` old; false before the first one.
    pub fn is_fresh(&self, now: Nanos, stale_after: Nanos) -> bool {
        self.leased_since.is_some() && now - self.last_leased_at <= stale_after
    }
}
