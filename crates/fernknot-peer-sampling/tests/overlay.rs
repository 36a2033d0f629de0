//! Whether processes keep knowing each other while others come and go.

mod common;

use common::{PERIOD, World, ZONES, addr};
use fernknot_peer_sampling::{PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn given_300_processes_when_all_seeds_die_then_everyone_keeps_finding_a_live_controller() {
    let mut world = World::new(6, 294, &[0, 1, 2]);
    world.run(15);
    (0..3).for_each(|seed| drop(world.alive.remove(&seed)));
    for _ in 0..30 {
        world.run(2);
        for (number, overlay) in &world.alive {
            let known = overlay.peers(Role::Controller, None);
            assert!(
                known.iter().any(|entry| world.is_alive(entry.addr)),
                "{number} knows no live controller"
            );
        }
    }
    for (number, overlay) in &world.alive {
        let known = overlay.known_processes();
        assert!(known.iter().all(|entry| world.is_alive(entry.addr)), "{number} still knows a dead one");
        let controllers = overlay.peers(Role::Controller, None).len();
        assert!(controllers >= 2, "{number} knows {controllers} of 3");
        for zone in ZONES {
            assert!(known.iter().any(|entry| entry.zone == zone), "{number} knows nobody in {zone}");
        }
    }
}

#[test]
fn given_300_processes_when_they_shuffle_for_long_then_none_is_known_by_too_many_and_messages_stay_small() {
    let mut world = World::new(3, 297, &[0, 1, 2]);
    world.run(60);
    let mut known_by = BTreeMap::<_, usize>::new();
    for overlay in world.alive.values() {
        for entry in overlay.peers(Role::Gateway, None) {
            *known_by.entry(entry.addr).or_default() += 1;
        }
    }
    let (least, most) = (known_by.values().min().unwrap(), known_by.values().max().unwrap());
    assert!(
        known_by.len() >= 295 && *least >= 5 && *most <= 45,
        "{} known, {least} to {most}",
        known_by.len()
    );
    assert!(world.longest <= 300, "{} bytes", world.longest);
}

#[test]
fn given_controllers_replaced_one_by_one_when_newcomers_know_one_of_those_before_then_all_are_found() {
    let mut world = World::new(3, 87, &[0, 1, 2]);
    world.run(15);
    for step in 0..6 {
        world.start(1_000 + step, Role::Controller, &[if step < 3 { step } else { 997 + step }, 999]);
        world.run(12);
        world.alive.remove(&if step < 3 { step } else { 997 + step });
        world.run(12);
    }
    world.run(30);
    for (number, overlay) in &world.alive {
        let known = overlay.peers(Role::Controller, None);
        let live = known.iter().filter(|entry| world.is_alive(entry.addr)).count();
        let expected = if *number >= 1_000 { 2 } else { 3 };
        assert_eq!((live, known.len()), (expected, expected), "{number}");
    }
}

#[test]
fn given_two_parts_that_lost_each_other_when_their_seeds_are_reached_again_then_they_are_one() {
    let mut world = World::new(0, 0, &[]);
    for number in 0..60 {
        let role = if number % 30 == 0 { Role::Controller } else { Role::Gateway };
        world.start(number, role, &[number / 30 * 30]);
    }
    world.run(20);
    let other = |overlay: &PeerSampler| {
        overlay.known_processes().iter().filter(|entry| entry.addr >= addr(30)).count()
    };
    assert!((0..30).all(|number| other(&world.alive[&number]) == 0));
    world.alive.get_mut(&5).unwrap().set_seeds(&[addr(30)]);
    world.run(60);
    assert!((0..30).all(|number| other(&world.alive[&number]) > 3));
}

proptest! {
    #[test]
    fn whatever_is_told_the_view_stays_bounded_and_holds_no_two_of_one_address_nor_itself(
        told in prop::collection::vec(
            (0..40u32, any::<bool>(), 0..4usize, 0..9u64, any::<u32>(), any::<bool>()), 0..200,
        ),
        bytes in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        let me = PeerDescriptor { addr: addr(0), role: Role::Controller, zone: "north".into(), incarnation: 1, age_ms: 0 };
        let bounds = PeerSamplerSettings::default();
        let mut overlay = PeerSampler::new(me, &[addr(1)], PERIOD, bounds, 7);
        for (at, chunk) in told.chunks(9).enumerate() {
            let sample: Vec<PeerDescriptor> = chunk.iter().map(|&(number, controller, zone, life, age, _)| PeerDescriptor {
                addr: addr(number),
                role: if controller { Role::Controller } else { Role::Gateway },
                zone: ["north", "south", "east", "a zone that is new"][zone].into(),
                incarnation: life,
                age_ms: age,
            }).collect();
            let (from, now) = (sample[0].addr, PERIOD.times(at as f64));
            if chunk[0].5 { overlay.handle_shuffle_reply(now, from, &sample) } else { overlay.handle_shuffle(now, from, &sample); }
            if chunk[0].1 { overlay.record_failure(from) } else { overlay.record_contact(from) }
            while overlay.poll_action(now).is_some() {}
            let known = overlay.known_processes();
            prop_assert!(known.len() <= bounds.view_size + bounds.max_controllers);
            let places: std::collections::BTreeSet<_> = known.iter().map(|entry| entry.addr).collect();
            prop_assert_eq!(places.len(), known.len());
            prop_assert!(!places.contains(&addr(0)));
        }
        let _ = bitcode::decode::<Vec<PeerDescriptor>>(&bytes);
    }
}
