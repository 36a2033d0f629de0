//! A gateway knows until when its sources confirm that it has every acknowledged change of the configuration.

mod common;

use common::{APPLY_DEADLINE, LEASE_DURATION, assignment, gateway_addr, millis, zone};
use fernknot::interface::Nanos;
use fernknot_distribution::{Relays, RelaysLimits, SourceHeartbeat, SourceKind};
use fernknot_ownership::IncarnationId;
use std::net::SocketAddrV4;
use test_case::test_case;

const HEARTBEAT_INTERVAL_MS: u64 = 200;
/// Longest time for which a relay forwards a lease after the heartbeat that it comes from.
const MAX_FORWARDING_MS: u64 = HEARTBEAT_INTERVAL_MS * 3 / 2;

/// A gateway that subscribes to another of its zone.
fn gateway_behind_relay() -> (Relays, SocketAddrV4) {
    let limits = RelaysLimits::default();
    let mut relays = Relays::new(IncarnationId(0), zone(0), APPLY_DEADLINE, LEASE_DURATION, limits, 1);
    relays.apply_assignment(millis(0), &assignment(1, [3]));
    while relays.poll_action(millis(0)).is_some() {}
    (relays, gateway_addr(3))
}

fn heartbeat(hops: u8) -> SourceHeartbeat {
    SourceHeartbeat { has_lease: true, hops, ..SourceHeartbeat::default() }
}

/// Records heartbeats in each interval from `from_ms` to `to_ms`. Returns the time of the last one.
fn record_heartbeats(relays: &mut Relays, source: SocketAddrV4, from_ms: u64, to_ms: u64) -> u64 {
    let times = (from_ms..=to_ms).step_by(HEARTBEAT_INTERVAL_MS as usize);
    for ms in times.clone() {
        relays.record_heartbeat(millis(ms), source, SourceKind::Relay, heartbeat(1));
    }
    times.last().unwrap()
}

#[test_case(0)]
#[test_case(1)]
#[test_case(2)]
fn given_heartbeats_with_a_lease_that_stop_then_the_configuration_is_confirmed_until_a_change_may_be_missing(
    hops: u8,
) {
    let (mut relays, source) = gateway_behind_relay();
    for ms in [200, 400] {
        relays.record_heartbeat(millis(ms), source, SourceKind::Relay, heartbeat(hops));
    }
    // The lease was confirmed up to its duration before the controller sent the heartbeat, and each gateway on the way
    // forwarded it with a delay.
    let max_age = LEASE_DURATION + millis(MAX_FORWARDING_MS * u64::from(hops));
    let until = relays.configuration_confirmed_until();
    assert!(until + max_age <= millis(400) + APPLY_DEADLINE, "{until:?}");
    assert!(until >= millis(400) + APPLY_DEADLINE.times(1.0 / 6.0), "heartbeats in time leave no break");
}

/// Guards against heartbeats that were sent before a stall and read after it.
#[test]
fn given_a_stall_when_buffered_heartbeats_arrive_then_they_confirm_nothing() {
    let (mut relays, source) = gateway_behind_relay();
    record_heartbeats(&mut relays, source, 200, 1_000);
    let until = relays.configuration_confirmed_until();
    assert!(until > Nanos(0));
    relays.reset_liveness(millis(9_000));
    for ms in [9_000, 9_000, 9_010, 9_020] {
        relays.record_heartbeat(millis(ms), source, SourceKind::Relay, heartbeat(1));
    }
    assert_eq!(relays.configuration_confirmed_until(), until);
    record_heartbeats(&mut relays, source, 9_200, 9_400);
    assert!(relays.configuration_confirmed_until() > millis(9_400));
}

#[test]
fn given_an_interrupted_connection_when_held_up_heartbeats_arrive_then_they_confirm_nothing() {
    let (mut relays, source) = gateway_behind_relay();
    record_heartbeats(&mut relays, source, 200, 1_000);
    let until = relays.configuration_confirmed_until();
    for ms in [4_000, 4_010] {
        relays.record_heartbeat(millis(ms), source, SourceKind::Relay, heartbeat(1));
    }
    assert_eq!(relays.configuration_confirmed_until(), until);
}

#[test]
fn given_heartbeats_without_a_lease_then_they_confirm_nothing() {
    let (mut relays, source) = gateway_behind_relay();
    let unleased = SourceHeartbeat { has_lease: false, ..heartbeat(1) };
    for ms in [200, 400, 600] {
        relays.record_heartbeat(millis(ms), source, SourceKind::Relay, unleased);
    }
    assert_eq!(relays.configuration_confirmed_until(), Nanos(0));
}
