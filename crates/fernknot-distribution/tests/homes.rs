//! How news reaches the gateways of a zone, in calm and in trouble.

mod common;

use common::{APPLY, World, ZONES, controller_addr, cut, gateway_addr, millis, topics, zone};
use fernknot_distribution::{Action, Relays, RelaysLimits, SourceHeartbeat, SourceKind, Topic};
use fernknot_ownership::IncarnationId;
use proptest::prelude::*;
use test_case::test_case;

const THIRD: u64 = APPLY.0 / 1_000_000 / 3;

fn service() -> Topic {
    Topic::service("service-3")
}

#[test]
fn given_calm_when_a_topic_changes_then_it_crosses_into_each_zone_once_at_most_and_all_have_it() {
    let mut world = World::new(0..12);
    assert_eq!(world.spread(), Some(0));
    let before = world.attaches;
    for topic in topics() {
        world.change(&topic);
        assert_eq!(world.spread(), Some(0));
        assert_eq!(world.crossings, 0, "each zone has a controller of its own");
    }
    world.run(20_000);
    assert_eq!(world.attaches, before, "nothing is attached anew in calm times");
    world.tellers.get_mut(&controller_addr(1)).unwrap().dead = true;
    world.reset(controller_addr(1));
    world.run(3_000);
    for topic in topics() {
        world.change(&topic);
        assert_eq!(world.crossings, 1, "into the zone whose controller is dead");
    }
}

#[derive(Clone, Copy)]
enum Trouble {
    /// The home takes connections and says nothing more.
    HomeHangs,
    HomeDies,
    /// One that passes the home's news on to others of a large zone.
    BetweenHangs,
    BetweenDies,
    /// The home's controller is cut off from the rest, and speaks on.
    ControllerWithoutLease,
    ControllerHangs,
    ControllerDies,
}

#[test_case(Trouble::HomeHangs)]
#[test_case(Trouble::HomeDies)]
#[test_case(Trouble::BetweenHangs)]
#[test_case(Trouble::BetweenDies)]
#[test_case(Trouble::ControllerWithoutLease)]
#[test_case(Trouble::ControllerHangs)]
#[test_case(Trouble::ControllerDies)]
fn given_trouble_when_a_topic_changes_then_all_have_it_within_a_third_of_the_time(trouble: Trouble) {
    let mut world = World::new(0..90);
    let home = world.home("north", &service());
    let topic = service();
    let mut passing =
        world.members.iter().filter(|(_, member)| member.homes.subscribers_of(&topic).next().is_some());
    let between =
        passing.find(|(life, _)| zone(**life) == "north" && **life != home).map(|(life, _)| *life).unwrap();
    let teller = world.members[&home].homes.controller().unwrap();
    match trouble {
        Trouble::HomeHangs => world.members.get_mut(&home).unwrap().silent = true,
        Trouble::HomeDies => {
            world.members.get_mut(&home).unwrap().dead = true;
            world.reset(gateway_addr(home));
        }
        Trouble::BetweenHangs => world.members.get_mut(&between).unwrap().silent = true,
        Trouble::BetweenDies => {
            world.members.get_mut(&between).unwrap().dead = true;
            world.reset(gateway_addr(between));
        }
        Trouble::ControllerWithoutLease => world.tellers.get_mut(&teller).unwrap().lease = false,
        Trouble::ControllerHangs => world.tellers.get_mut(&teller).unwrap().silent = true,
        Trouble::ControllerDies => {
            world.tellers.get_mut(&teller).unwrap().dead = true;
            world.reset(teller);
        }
    }
    world.change(&service());
    let took = world.spread();
    assert!(took.is_some_and(|ms| ms <= THIRD), "{took:?} of {THIRD} ms");
}

#[test]
fn given_a_fallen_home_when_it_is_fresh_again_or_a_cut_names_another_then_controllers_are_left_alone() {
    let mut world = World::new(0..24);
    let home = world.home("north", &Topic::Configuration);
    let other = (0..24).find(|life| zone(*life) == "north" && *life != home).unwrap();
    let direct = |world: &World, life: u64| {
        let links = world.members[&life].links.iter();
        links
            .filter(|((what, _), _)| *what == SourceKind::Controller)
            .any(|(_, taken)| taken.contains(&Topic::Configuration))
    };
    assert!(!direct(&world, other));
    world.members.get_mut(&home).unwrap().silent = true;
    world.run(THIRD);
    assert!(direct(&world, other));
    world.members.get_mut(&home).unwrap().silent = false;
    world.run(THIRD);
    assert!(!direct(&world, other));
    world.members.get_mut(&home).unwrap().silent = true;
    world.run(THIRD);
    world.cut(&cut(2, (0..24).filter(|life| *life != home)));
    world.run(2 * THIRD);
    let next = world.home("north", &Topic::Configuration);
    for life in (0..24).filter(|life| zone(*life) == "north" && *life != home) {
        assert_eq!(direct(&world, life), life == next);
    }
}

#[test]
fn given_zones_of_one_gateway_then_each_takes_all_from_the_controller_of_its_zone_and_no_other() {
    let world = World::new(0..3);
    for (life, member) in &world.members {
        let links: Vec<_> = member.links.keys().copied().collect();
        assert_eq!(links, [(SourceKind::Controller, controller_addr(*life as u8))]);
        assert!(topics().iter().all(|topic| member.homes.is_relay(topic)));
    }
}

#[test]
fn given_no_controller_with_a_lease_when_one_has_it_again_then_all_hear_of_it_soon_and_tries_were_few() {
    let mut world = World::new(0..24);
    world.tellers.values_mut().for_each(|teller| teller.lease = false);
    world.run(2_000);
    let before = world.attaches;
    world.run(30_000);
    let rate = (world.attaches - before) as f64 / 30.0 / 24.0;
    assert!(rate < 2.0, "{rate} tries a second and gateway");
    world.tellers.get_mut(&controller_addr(2)).unwrap().lease = true;
    world.change(&service());
    let took = world.spread();
    assert!(took.is_some_and(|ms| ms <= 9_000), "{took:?}");
}

#[test]
fn given_a_controller_without_power_when_a_gateway_starts_there_then_another_is_asked_before_it_is_stale() {
    let mut world = World::new(0..3);
    let home = controller_addr((0..3).position(|at| ZONES[at] == zone(6)).unwrap() as u8);
    world.tellers.get_mut(&home).unwrap().silent = true;
    world.start(6);
    world.run(APPLY.0 / 1_000_000 / 10);
    let asked: Vec<_> = world.members[&6].links.keys().map(|(_, addr)| *addr).collect();
    assert!(!asked.is_empty() && !asked.contains(&home), "{asked:?}");
}

#[test]
fn given_a_gateway_that_was_frozen_when_it_wakes_then_it_does_not_take_its_tellers_for_stale() {
    let mut world = World::new(0..12);
    let home = world.home("north", &service());
    let frozen = (0..12).find(|life| zone(*life) == "north" && *life != home).unwrap();
    let links = world.members[&frozen].links.clone();
    world.members.get_mut(&frozen).unwrap().silent = true;
    world.run(5_000);
    let member = world.members.get_mut(&frozen).unwrap();
    member.silent = false;
    member.homes.reset_liveness(millis(world.ms));
    for _ in 0..10 {
        world.run(100);
        assert_eq!(world.members[&frozen].links, links);
    }
}

/// Two gateways that hold different cuts may each take the other for the home: a pulse must not run between them for
/// ever, as if a controller were in touch.
#[test]
fn given_a_pulse_that_runs_in_a_circle_when_passed_on_again_and_again_then_it_is_soon_none_of_a_lease() {
    let mut pair =
        [0, 3].map(|life| Relays::new(IncarnationId(life), zone(life), APPLY, RelaysLimits::default(), 1));
    let addrs = [0, 3].map(gateway_addr);
    for (at, other) in [(0, 3), (1, 0)] {
        pair[at].apply_assignment(millis(0), &cut(1, [other]));
        pair[at].subscribe(addrs[1 - at], [Topic::Configuration]);
        while pair[at].poll_action(millis(0)).is_some() {}
    }
    let mut pulse = SourceHeartbeat { has_lease: true, ..SourceHeartbeat::default() };
    let mut rounds = 0;
    while pulse.has_lease && rounds < 100 {
        let (at, now) = (rounds % 2, millis(150 * (rounds as u64 + 1)));
        pair[at].record_heartbeat(now, addrs[1 - at], SourceKind::Relay, pulse);
        let orders: Vec<Action> = std::iter::from_fn(|| pair[at].poll_action(now)).collect();
        let mut relayed = orders.iter().filter_map(|order| match order {
            Action::ForwardHeartbeat { heartbeat: pulse, .. } if pulse.has_lease => Some(*pulse),
            _ => None,
        });
        pulse = relayed.next_back().unwrap_or_default();
        rounds += 1;
    }
    assert!((5..12).contains(&rounds), "{rounds}");
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// Any run of hangs, deaths, cut-off controllers and cuts: once there is one controller with a lease and a cut of
    /// those who live, all of them have all news soon, and each takes every topic somewhere.
    #[test]
    fn whatever_happened_when_it_is_calm_again_then_all_news_reaches_all(
        events in prop::collection::vec((0..7u8, 0..12u64, 1..60u64), 1..25),
    ) {
        let mut world = World::new(0..12);
        let mut count = 1;
        for (what, which, tens) in events {
            let teller = controller_addr(which as u8 % 3);
            match what {
                0 => { let member = world.members.get_mut(&which).unwrap(); member.silent = !member.silent; }
                1 => {
                    world.members.get_mut(&which).unwrap().dead = true;
                    world.reset(gateway_addr(which));
                }
                2 => { let teller = world.tellers.get_mut(&teller).unwrap(); teller.lease = !teller.lease; }
                3 => { let teller = world.tellers.get_mut(&teller).unwrap(); teller.silent = !teller.silent; }
                4 => {
                    let dead = &mut world.tellers.get_mut(&teller).unwrap().dead;
                    *dead = !*dead;
                    world.reset(teller);
                }
                5 => {
                    count += 1;
                    let live = (0..12).filter(|life| !world.members[life].dead && !world.members[life].silent);
                    let cut = cut(count, live.collect::<Vec<_>>());
                    world.cut(&cut);
                }
                _ => world.change(&topics()[which as usize]),
            }
            world.run(tens * 10);
        }
        world.tellers.values_mut().take(2).for_each(|teller| *teller = common::Teller { lease: true, silent: false, dead: false, ..*teller });
        for member in world.members.values_mut() {
            member.silent = false;
        }
        let live: Vec<u64> = world.members.iter().filter(|(_, member)| !member.dead).map(|(life, _)| *life).collect();
        world.cut(&cut(count + 1, live));
        world.run(9_000);
        for topic in topics() {
            world.change(&topic);
        }
        prop_assert_eq!(world.spread().filter(|ms| *ms <= THIRD).is_some(), true);
        for member in world.members.values().filter(|member| !member.dead) {
            for topic in topics() {
                let takes = member.links.values().filter(|taken| taken.contains(&topic)).count();
                prop_assert!((1..=3).contains(&takes), "{takes} sources of {topic:?}");
            }
        }
    }
}
