//! A gateway subscribes to the relay of its zone, and to a controller only if no relay is healthy.

mod common;

use common::{
    APPLY_DEADLINE, Cluster, LEASE_DURATION, ZONES, assignment, controller_addr, gateway_addr, millis,
    topics, zone,
};
use fernknot_distribution::{Action, Relays, RelaysLimits, SourceHeartbeat, SourceKind, Topic};
use fernknot_ownership::IncarnationId;

const APPLY_DEADLINE_MS: u64 = APPLY_DEADLINE.0 / 1_000_000;

fn service() -> Topic {
    Topic::service("service-3")
}

#[test]
fn given_a_stale_relay_when_it_is_fresh_again_or_another_is_assigned_then_gateways_unsubscribe_from_controllers()
 {
    let mut cluster = Cluster::new(0..24);
    let relay = cluster.relay("north", &Topic::Configuration);
    let other = (0..24).find(|incarnation| zone(*incarnation) == "north" && *incarnation != relay).unwrap();
    let uses_controller = |cluster: &Cluster, incarnation: u64| {
        let subscriptions = cluster.gateways[&incarnation].subscriptions.iter();
        subscriptions
            .filter(|((kind, _), _)| *kind == SourceKind::Controller)
            .any(|(_, topics)| topics.contains(&Topic::Configuration))
    };
    assert!(!uses_controller(&cluster, other));
    cluster.gateways.get_mut(&relay).unwrap().hung = true;
    cluster.run(APPLY_DEADLINE_MS / 3);
    assert!(uses_controller(&cluster, other));
    cluster.gateways.get_mut(&relay).unwrap().hung = false;
    cluster.run(APPLY_DEADLINE_MS / 3);
    assert!(!uses_controller(&cluster, other));
    cluster.gateways.get_mut(&relay).unwrap().hung = true;
    cluster.run(APPLY_DEADLINE_MS / 3);
    cluster.apply_assignment(&assignment(2, (0..24).filter(|incarnation| *incarnation != relay)));
    cluster.run(2 * (APPLY_DEADLINE_MS / 3));
    let next = cluster.relay("north", &Topic::Configuration);
    for incarnation in (0..24).filter(|incarnation| zone(*incarnation) == "north" && *incarnation != relay) {
        assert_eq!(uses_controller(&cluster, incarnation), incarnation == next);
    }
}

#[test]
fn given_zones_of_one_gateway_then_each_gateway_subscribes_only_to_the_controller_of_its_zone() {
    let cluster = Cluster::new(0..3);
    for (incarnation, gateway) in &cluster.gateways {
        let subscriptions: Vec<_> = gateway.subscriptions.keys().copied().collect();
        assert_eq!(subscriptions, [(SourceKind::Controller, controller_addr(*incarnation as u8))]);
        assert!(topics().iter().all(|topic| gateway.relays.is_relay(topic)));
    }
}

#[test]
fn given_a_controller_whose_machine_is_down_when_a_gateway_starts_in_its_zone_then_another_is_tried_before_it_is_stale()
 {
    let mut cluster = Cluster::new(0..3);
    let nearest = controller_addr((0..3).position(|number| ZONES[number] == zone(6)).unwrap() as u8);
    cluster.controllers.get_mut(&nearest).unwrap().hung = true;
    cluster.start(6);
    cluster.run(APPLY_DEADLINE_MS / 10);
    let tried: Vec<_> = cluster.gateways[&6].subscriptions.keys().map(|(_, addr)| *addr).collect();
    assert!(!tried.is_empty() && !tried.contains(&nearest), "{tried:?}");
}

#[test]
fn given_a_gateway_that_was_stalled_when_it_resumes_then_it_does_not_treat_its_sources_as_stale() {
    let mut cluster = Cluster::new(0..12);
    let relay = cluster.relay("north", &service());
    let stalled = (0..12).find(|incarnation| zone(*incarnation) == "north" && *incarnation != relay).unwrap();
    let subscriptions = cluster.gateways[&stalled].subscriptions.clone();
    cluster.gateways.get_mut(&stalled).unwrap().hung = true;
    cluster.run(5_000);
    let gateway = cluster.gateways.get_mut(&stalled).unwrap();
    gateway.hung = false;
    gateway.relays.reset_liveness(millis(cluster.ms));
    for _ in 0..10 {
        cluster.run(100);
        assert_eq!(cluster.gateways[&stalled].subscriptions, subscriptions);
    }
}

/// Two gateways with different assignments may each treat the other as the relay. A heartbeat that loops between them
/// must not keep its lease, because no controller confirms it.
#[test]
fn given_two_gateways_that_forward_to_each_other_when_a_heartbeat_loops_then_it_soon_loses_its_lease() {
    let mut pair = [0, 3].map(|incarnation| {
        Relays::new(
            IncarnationId(incarnation),
            zone(incarnation),
            APPLY_DEADLINE,
            LEASE_DURATION,
            RelaysLimits::default(),
            1,
        )
    });
    let addrs = [0, 3].map(gateway_addr);
    for (index, other) in [(0, 3), (1, 0)] {
        pair[index].apply_assignment(millis(0), &assignment(1, [other]));
        pair[index].subscribe(addrs[1 - index], [Topic::Configuration]);
        while pair[index].poll_action(millis(0)).is_some() {}
    }
    let mut heartbeat = SourceHeartbeat { has_lease: true, ..SourceHeartbeat::default() };
    let mut rounds = 0;
    while heartbeat.has_lease && rounds < 100 {
        let (index, now) = (rounds % 2, millis(150 * (rounds as u64 + 1)));
        pair[index].record_heartbeat(now, addrs[1 - index], SourceKind::Relay, heartbeat);
        let actions: Vec<Action> = std::iter::from_fn(|| pair[index].poll_action(now)).collect();
        let mut forwarded = actions.iter().filter_map(|action| match action {
            Action::ForwardHeartbeat { heartbeat, .. } if heartbeat.has_lease => Some(*heartbeat),
            _ => None,
        });
        heartbeat = forwarded.next_back().unwrap_or_default();
        rounds += 1;
    }
    assert!((5..12).contains(&rounds), "{rounds}");
}
