//! Processes keep knowing each other while others start and end.

mod common;

use common::{Cluster, PERIOD, ZONES, addr};
use fernknot_peer_sampling::{PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn given_300_processes_when_all_seeds_end_then_every_process_keeps_finding_a_live_controller() {
    let mut cluster = Cluster::new(6, 294, &[0, 1, 2]);
    cluster.run(15);
    (0..3).for_each(|seed| drop(cluster.live.remove(&seed)));
    for _ in 0..30 {
        cluster.run(2);
        for (number, sampler) in &cluster.live {
            let known = sampler.peers(Role::Controller, None);
            assert!(
                known.iter().any(|entry| cluster.is_live(entry.addr)),
                "{number} knows no live controller"
            );
        }
    }
    for (number, sampler) in &cluster.live {
        let known = sampler.known_processes();
        assert!(known.iter().all(|entry| cluster.is_live(entry.addr)), "{number} still knows an ended one");
        let controllers = sampler.peers(Role::Controller, None).len();
        assert!(controllers >= 2, "{number} knows {controllers} of 3");
        for zone in ZONES {
            assert!(known.iter().any(|entry| entry.zone == zone), "{number} knows no process in {zone}");
        }
    }
}

#[test]
fn given_300_processes_when_they_shuffle_for_long_then_none_is_known_by_too_many_and_messages_stay_small() {
    let mut cluster = Cluster::new(3, 297, &[0, 1, 2]);
    cluster.run(60);
    let mut known_by = BTreeMap::<_, usize>::new();
    for sampler in cluster.live.values() {
        for entry in sampler.peers(Role::Gateway, None) {
            *known_by.entry(entry.addr).or_default() += 1;
        }
    }
    let (least, most) = (known_by.values().min().unwrap(), known_by.values().max().unwrap());
    assert!(
        known_by.len() >= 295 && *least >= 5 && *most <= 45,
        "{} known, {least} to {most}",
        known_by.len()
    );
    assert!(cluster.largest_message_bytes <= 300, "{} bytes", cluster.largest_message_bytes);
}

#[test]
fn given_controllers_replaced_one_by_one_when_new_ones_know_one_of_the_earlier_then_all_are_found() {
    let mut cluster = Cluster::new(3, 87, &[0, 1, 2]);
    cluster.run(15);
    for step in 0..6 {
        cluster.start(1_000 + step, Role::Controller, &[if step < 3 { step } else { 997 + step }, 999]);
        cluster.run(12);
        cluster.live.remove(&if step < 3 { step } else { 997 + step });
        cluster.run(12);
    }
    cluster.run(30);
    for (number, sampler) in &cluster.live {
        let known = sampler.peers(Role::Controller, None);
        let live = known.iter().filter(|entry| cluster.is_live(entry.addr)).count();
        let expected = if *number >= 1_000 { 2 } else { 3 };
        assert_eq!((live, known.len()), (expected, expected), "{number}");
    }
}

#[test]
fn given_two_partitions_that_lost_each_other_when_their_seeds_are_reached_again_then_they_merge() {
    let mut cluster = Cluster::new(0, 0, &[]);
    for number in 0..60 {
        let role = if number % 30 == 0 { Role::Controller } else { Role::Gateway };
        cluster.start(number, role, &[number / 30 * 30]);
    }
    cluster.run(20);
    let other = |sampler: &PeerSampler| {
        sampler.known_processes().iter().filter(|entry| entry.addr >= addr(30)).count()
    };
    assert!((0..30).all(|number| other(&cluster.live[&number]) == 0));
    cluster.live.get_mut(&5).unwrap().set_seeds(&[addr(30)]);
    cluster.run(60);
    assert!((0..30).all(|number| other(&cluster.live[&number]) > 3));
}

proptest! {
    #[test]
    fn whatever_is_received_the_view_stays_bounded_and_holds_no_address_twice_nor_its_own(
        received in prop::collection::vec(
            (0..40u32, any::<bool>(), 0..4usize, 0..9u64, any::<u32>(), any::<bool>()), 0..200,
        ),
        bytes in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        let own_descriptor = PeerDescriptor { addr: addr(0), role: Role::Controller, zone: "north".into(), incarnation: 1, age_ms: 0 };
        let settings = PeerSamplerSettings::default();
        let mut sampler = PeerSampler::new(own_descriptor, &[addr(1)], PERIOD, settings, 7);
        for (at, chunk) in received.chunks(9).enumerate() {
            let sample: Vec<PeerDescriptor> = chunk.iter().map(|&(number, controller, zone, incarnation, age, _)| PeerDescriptor {
                addr: addr(number),
                role: if controller { Role::Controller } else { Role::Gateway },
                zone: ["north", "south", "east", "another zone"][zone].into(),
                incarnation,
                age_ms: age,
            }).collect();
            let (from, now) = (sample[0].addr, PERIOD.times(at as f64));
            if chunk[0].5 { sampler.handle_shuffle_reply(now, from, &sample) } else { let _ = sampler.handle_shuffle(now, from, &sample); }
            if chunk[0].1 { sampler.record_failure(from) } else { sampler.record_contact(from) }
            while sampler.poll_action(now).is_some() {}
            let known = sampler.known_processes();
            prop_assert!(known.len() <= settings.view_size + settings.max_controllers);
            let addrs: std::collections::BTreeSet<_> = known.iter().map(|entry| entry.addr).collect();
            prop_assert_eq!(addrs.len(), known.len());
            prop_assert!(!addrs.contains(&addr(0)));
        }
        let _ = bitcode::decode::<Vec<PeerDescriptor>>(&bytes);
    }
}
