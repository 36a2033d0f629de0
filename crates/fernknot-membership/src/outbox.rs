//! Pending messages, and the rate limit on datagrams.

use crate::identity::RouterId;
use crate::message::MessageBody;
use fernknot::interface::Nanos;
use fernknot::state::TokenBucket;
use std::collections::VecDeque;

/// Maximum number of pending messages. Further ones are dropped; the routers that wait for them retry.
const MAX_PENDING_MESSAGES: usize = 64;
/// Share of the rate limit, from 0 to 1, that may be sent in a burst.
const BURST_SHARE: f64 = 0.4;
/// Minimum sustained rate, in datagrams per second.
const MIN_DATAGRAMS_PER_S: f64 = 0.5;

/// Messages that wait for the rate limit. Acknowledgements overtake requests, because their receivers wait with a
/// time-out.
pub(crate) struct Outbox {
    pending: VecDeque<(RouterId, MessageBody)>,
    rate_limit: RateLimit,
}

impl Outbox {
    /// Creates an empty outbox with this rate limit.
    pub fn new(datagrams_per_s: f64, now: Nanos) -> Outbox {
        Outbox { pending: VecDeque::new(), rate_limit: RateLimit::new(datagrams_per_s, now) }
    }

    /// Whether no message is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }

    /// Queues a message; drops it if the queue is full.
    pub fn push(&mut self, to: RouterId, body: MessageBody) {
        if self.pending.len() < MAX_PENDING_MESSAGES {
            self.pending.push_back((to, body));
        }
    }

    /// Removes the next message, acknowledgements first.
    pub fn pop(&mut self) -> Option<(RouterId, MessageBody)> {
        let acknowledgement = self.pending.iter().position(|(_, body)| body.is_acknowledgement());
        self.pending.remove(acknowledgement.unwrap_or(0))
    }

    /// Whether the rate limit allows a datagram now with room for `reserve` more.
    pub fn may_send(&mut self, now: Nanos, reserve: f64) -> bool {
        self.rate_limit.allows(now, reserve)
    }

    /// Time at which the rate limit allows a datagram with room for `reserve` more.
    pub fn may_send_at(&self, reserve: f64) -> Nanos {
        self.rate_limit.allows_at(reserve)
    }

    /// Counts one sent datagram against the rate limit.
    pub fn count_sent(&mut self, now: Nanos) {
        self.rate_limit.bucket.try_draw(now);
    }
}

/// Token bucket whose burst and rate together stay within the configured number of datagrams in any second.
struct RateLimit {
    bucket: TokenBucket,
    burst: f64,
}

impl RateLimit {
    fn new(datagrams_per_s: f64, now: Nanos) -> RateLimit {
        let burst = (datagrams_per_s * BURST_SHARE).max(1.0);
        let rate = (datagrams_per_s - burst).max(MIN_DATAGRAMS_PER_S);
        RateLimit { bucket: TokenBucket::new(rate, burst, now), burst }
    }

    fn needed(&self, reserve: f64) -> f64 {
        1.0 + reserve.min(self.burst - 1.0)
    }

    fn allows(&mut self, now: Nanos, reserve: f64) -> bool {
        self.bucket.available(now) >= self.needed(reserve)
    }

    fn allows_at(&self, reserve: f64) -> Nanos {
        self.bucket.available_at(self.needed(reserve))
    }
}
