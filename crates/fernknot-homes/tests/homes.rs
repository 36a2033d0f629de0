//! How news reaches the gateways of a zone, in calm and in trouble.

mod common;

use common::{APPLY, World, cut, gateway_addr, registrar_addr, topics, zone};
use fernknot_homes::{Topic, What};
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
        assert_eq!(world.crossings, 0, "each zone has a registrar of its own");
    }
    world.run(20_000);
    assert_eq!(world.attaches, before, "nothing is attached anew in calm times");
    world.tellers.get_mut(&registrar_addr(1)).unwrap().dead = true;
    world.reset(registrar_addr(1));
    world.run(3_000);
    for topic in topics() {
        world.change(&topic);
        assert_eq!(world.crossings, 1, "into the zone whose registrar is dead");
    }
}

#[derive(Clone, Copy)]
enum Trouble {
    /// The home takes connections and says nothing more.
    HomeHangs,
    HomeDies,
    /// The home's registrar is cut off from the rest, and speaks on.
    RegistrarWithoutLease,
    RegistrarHangs,
    RegistrarDies,
}

#[test_case(Trouble::HomeHangs)]
#[test_case(Trouble::HomeDies)]
#[test_case(Trouble::RegistrarWithoutLease)]
#[test_case(Trouble::RegistrarHangs)]
#[test_case(Trouble::RegistrarDies)]
fn given_trouble_when_a_topic_changes_then_all_have_it_within_a_third_of_the_time(trouble: Trouble) {
    let mut world = World::new(0..24);
    let home = world.home(&cut(1, 0..24), "north", &service());
    let teller = world.members[&home].homes.registrar().unwrap();
    match trouble {
        Trouble::HomeHangs => world.members.get_mut(&home).unwrap().silent = true,
        Trouble::HomeDies => {
            world.members.get_mut(&home).unwrap().dead = true;
            world.reset(gateway_addr(home));
        }
        Trouble::RegistrarWithoutLease => world.tellers.get_mut(&teller).unwrap().lease = false,
        Trouble::RegistrarHangs => world.tellers.get_mut(&teller).unwrap().silent = true,
        Trouble::RegistrarDies => {
            world.tellers.get_mut(&teller).unwrap().dead = true;
            world.reset(teller);
        }
    }
    world.change(&service());
    let took = world.spread();
    assert!(took.is_some_and(|ms| ms <= THIRD), "{took:?} of {THIRD} ms");
}

#[test]
fn given_a_fallen_home_when_it_is_fresh_again_or_a_cut_names_another_then_registrars_are_left_alone() {
    let mut world = World::new(0..24);
    let first = cut(1, 0..24);
    let home = world.home(&first, "north", &Topic::Configuration);
    let other = (0..24).find(|life| zone(*life) == "north" && *life != home).unwrap();
    let direct = |world: &World, life: u64| {
        let links = world.members[&life].links.iter();
        links
            .filter(|((what, _), _)| *what == What::Registrar)
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
    let next = world.home(&cut(2, (0..24).filter(|life| *life != home)), "north", &Topic::Configuration);
    for life in (0..24).filter(|life| zone(*life) == "north" && *life != home) {
        assert_eq!(direct(&world, life), life == next);
    }
}

#[test]
fn given_zones_of_one_gateway_then_each_takes_all_from_the_registrar_of_its_zone_and_no_other() {
    let world = World::new(0..3);
    for (life, member) in &world.members {
        let links: Vec<_> = member.links.keys().copied().collect();
        assert_eq!(links, [(What::Registrar, registrar_addr(*life as u8))]);
        assert!(topics().iter().all(|topic| member.homes.is_home(topic)));
    }
}

#[test]
fn given_no_registrar_with_a_lease_when_one_has_it_again_then_all_hear_of_it_soon_and_tries_were_few() {
    let mut world = World::new(0..24);
    world.tellers.values_mut().for_each(|teller| teller.lease = false);
    world.run(2_000);
    let before = world.attaches;
    world.run(30_000);
    let rate = (world.attaches - before) as f64 / 30.0 / 24.0;
    assert!(rate < 2.0, "{rate} tries a second and gateway");
    world.tellers.get_mut(&registrar_addr(2)).unwrap().lease = true;
    world.change(&service());
    let took = world.spread();
    assert!(took.is_some_and(|ms| ms <= 9_000), "{took:?}");
}

#[test]
fn given_a_gateway_that_was_frozen_when_it_wakes_then_it_does_not_take_its_tellers_for_stale() {
    let mut world = World::new(0..12);
    let home = world.home(&cut(1, 0..12), "north", &service());
    let frozen = (0..12).find(|life| zone(*life) == "north" && *life != home).unwrap();
    let links = world.members[&frozen].links.clone();
    world.members.get_mut(&frozen).unwrap().silent = true;
    world.run(5_000);
    let member = world.members.get_mut(&frozen).unwrap();
    member.silent = false;
    member.homes.was_away(common::millis(world.ms));
    for _ in 0..10 {
        world.run(100);
        assert_eq!(world.members[&frozen].links, links);
    }
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]
    /// Any run of hangs, deaths, cut-off registrars and cuts: once there is one registrar with a lease and a cut of
    /// those who live, all of them have all news soon, and each takes every topic somewhere.
    #[test]
    fn whatever_happened_when_it_is_calm_again_then_all_news_reaches_all(
        events in prop::collection::vec((0..7u8, 0..12u64, 1..60u64), 1..25),
    ) {
        let mut world = World::new(0..12);
        let mut count = 1;
        for (what, which, tens) in events {
            let teller = registrar_addr(which as u8 % 3);
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
