//! Messages that wait to be sent, and the rate limit on datagrams.

use crate::identity::RouterId;
use crate::message::MessageBody;
use fernknot::interface::Nanos;
use fernknot::state::TokenBucket;
use std::collections::VecDeque;

/// Messages that may wait; more are dropped, and their senders ask again.
const MAX_WAITING: usize = 64;
/// The part of the rate limit that may go at once.
const BURST_SHARE: f64 = 0.4;
/// The least sustained rate, in datagrams a second.
const MIN_RATE: f64 = 0.5;

/// Messages that wait for the rate limit. Acknowledgements overtake requests, as their receivers wait for them.
pub(crate) struct Outbox {
    waiting: VecDeque<(RouterId, MessageBody)>,
    rate_limit: RateLimit,
}

impl Outbox {
    /// An empty outbox with this rate limit.
    pub fn new(datagrams_per_s: f64, now: Nanos) -> Outbox {
        Outbox { waiting: VecDeque::new(), rate_limit: RateLimit::new(datagrams_per_s, now) }
    }

    /// Whether no message waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Lets a message wait, if there is room.
    pub fn push(&mut self, to: RouterId, body: MessageBody) {
        if self.waiting.len() < MAX_WAITING {
            self.waiting.push_back((to, body));
        }
    }

    /// The next message, acknowledgements first.
    pub fn pop(&mut self) -> Option<(RouterId, MessageBody)> {
        let acknowledgement = self.waiting.iter().position(|(_, body)| body.is_acknowledgement());
        self.waiting.remove(acknowledgement.unwrap_or(0))
    }

    /// Whether a datagram may be sent now that leaves room for so many more.
    pub fn may_send(&mut self, now: Nanos, spare: f64) -> bool {
        self.rate_limit.allows(now, spare)
    }

    /// When a datagram may be sent that leaves room for so many more.
    pub fn may_send_at(&self, spare: f64) -> Nanos {
        self.rate_limit.allows_at(spare)
    }

    /// Takes one datagram out of the rate limit.
    pub fn count_sent(&mut self, now: Nanos) {
        self.rate_limit.datagrams.try_draw(now);
    }
}

/// A token bucket whose burst and rate together stay within the stated number in any second.
struct RateLimit {
    datagrams: TokenBucket,
    burst: f64,
}

impl RateLimit {
    fn new(datagrams_per_s: f64, now: Nanos) -> RateLimit {
        let burst = (datagrams_per_s * BURST_SHARE).max(1.0);
        let rate = (datagrams_per_s - burst).max(MIN_RATE);
        RateLimit { datagrams: TokenBucket::new(rate, burst, now), burst }
    }

    fn needed(&self, spare: f64) -> f64 {
        1.0 + spare.min(self.burst - 1.0)
    }

    fn allows(&mut self, now: Nanos, spare: f64) -> bool {
        self.datagrams.available(now) >= self.needed(spare)
    }

    fn allows_at(&self, spare: f64) -> Nanos {
        self.datagrams.available_at(self.needed(spare))
    }
}
