//! One clock that steps doesn't change the time of day on which the controllers agree.

use fernknot::interface::Nanos;
use fernknot_usage_reporting::{MedianClock, UnixMillis};
use std::net::{Ipv4Addr, SocketAddrV4};

const EXPIRY: Nanos = Nanos(5_000_000_000);
const NOW: Nanos = Nanos(2_000_000_000);

fn peer(id: u8) -> SocketAddrV4 {
    SocketAddrV4::new(Ipv4Addr::new(10, 0, 0, id), 7321)
}

fn clock(own_ms: u64, peers_ms: &[u64]) -> MedianClock {
    let mut clock = MedianClock::new(EXPIRY);
    clock.set_own(NOW, UnixMillis(own_ms));
    for (id, peer_ms) in peers_ms.iter().enumerate() {
        clock.record_peer(NOW, peer(id as u8), UnixMillis(*peer_ms));
    }
    clock
}

#[test]
fn given_no_local_time_when_asked_then_there_is_none() {
    let mut clock = MedianClock::new(EXPIRY);
    clock.record_peer(NOW, peer(1), UnixMillis(5));
    assert_eq!(clock.median(NOW), None);
}

#[test]
fn given_clocks_of_five_when_two_step_then_the_median_is_a_correct_one() {
    assert_eq!(clock(90_000, &[10_000, 10_010, 10_005, 0]).median(NOW), Some(UnixMillis(10_005)));
    assert_eq!(clock(10_000, &[90_000, 10_010, 10_005, 95_000]).median(NOW), Some(UnixMillis(10_010)));
}

#[test]
fn given_a_peer_that_is_silent_when_time_passes_then_its_clock_is_extrapolated_until_it_expires() {
    let mut clock = clock(10_000, &[20_000, 20_000]);
    assert_eq!(clock.median(NOW + EXPIRY), Some(UnixMillis(25_000)));
    let later = NOW + EXPIRY + Nanos(1_000_000);
    assert_eq!(clock.median(later), Some(UnixMillis(15_001)));
    clock.set_own(later, UnixMillis(3));
    assert_eq!((clock.median(later), clock.own(later)), (Some(UnixMillis(3)), Some(UnixMillis(3))));
}

#[test]
fn given_times_at_the_ends_of_the_range_when_asked_then_nothing_overflows() {
    assert!(clock(u64::MAX, &[0]).median(Nanos(u64::MAX)).is_some());
}
