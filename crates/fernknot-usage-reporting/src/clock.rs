//! Time of day on which the controllers agree.

use fernknot::interface::Nanos;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// Maximum number of other controllers whose clocks are kept.
const MAX_PEER_CLOCKS: usize = 32;

/// Time of day in milliseconds since the beginning of 1970.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct UnixMillis(pub u64);

/// A clock, by the difference between its time of day and the local monotonic clock.
#[derive(Clone, Copy, Debug)]
struct ClockOffset {
    offset_ms: i64,
    received_at: Nanos,
}

/// Median of the local time of day and those of the controllers heard recently, so that one clock that steps changes
/// nothing. Between messages, each is extrapolated by the local monotonic clock.
#[derive(Clone, Debug)]
pub struct MedianClock {
    expiry: Nanos,
    own_offset_ms: Option<i64>,
    peers: BTreeMap<SocketAddrV4, ClockOffset>,
}

impl MedianClock {
    /// Creates a clock without any time of day. A controller that is not heard for longer than `expiry` doesn't count.
    pub fn new(expiry: Nanos) -> MedianClock {
        MedianClock { expiry, own_offset_ms: None, peers: BTreeMap::new() }
    }

    /// Sets the local time of day.
    pub fn set_own(&mut self, now: Nanos, time_of_day: UnixMillis) {
        self.own_offset_ms = Some(offset_ms(now, time_of_day));
    }

    /// Records the time of day of another controller, as its message gives it.
    pub fn record_peer(&mut self, now: Nanos, peer: SocketAddrV4, time_of_day: UnixMillis) {
        let expiry = self.expiry;
        self.peers.retain(|_, clock| now - clock.received_at <= expiry);
        if self.peers.len() < MAX_PEER_CLOCKS || self.peers.contains_key(&peer) {
            self.peers.insert(peer, ClockOffset { offset_ms: offset_ms(now, time_of_day), received_at: now });
        }
    }

    /// Local time of day. None before it was set.
    pub fn own(&self, now: Nanos) -> Option<UnixMillis> {
        self.own_offset_ms.map(|offset_ms| time_at(now, offset_ms))
    }

    /// Time of day on which the controllers agree, the lower of the two middle ones for an even number. None before the
    /// local one was set.
    pub fn median(&self, now: Nanos) -> Option<UnixMillis> {
        let recent = self.peers.values().filter(|clock| now - clock.received_at <= self.expiry);
        let mut offsets: Vec<i64> = recent.map(|clock| clock.offset_ms).collect();
        offsets.push(self.own_offset_ms?);
        offsets.sort_unstable();
        Some(time_at(now, offsets[(offsets.len() - 1) / 2]))
    }
}

fn monotonic_ms(now: Nanos) -> i64 {
    i64::try_from(now.0 / 1_000_000).unwrap_or(i64::MAX)
}

fn offset_ms(now: Nanos, time_of_day: UnixMillis) -> i64 {
    i64::try_from(time_of_day.0).unwrap_or(i64::MAX).saturating_sub(monotonic_ms(now))
}

fn time_at(now: Nanos, offset_ms: i64) -> UnixMillis {
    UnixMillis(offset_ms.saturating_add(monotonic_ms(now)).max(0) as u64)
}
