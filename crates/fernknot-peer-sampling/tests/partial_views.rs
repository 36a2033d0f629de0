//! Processes stay connected in the overlay while others start and end.

mod common;

use common::{Cluster, PERIOD, ZONES, addr};
use fernknot_peer_sampling::{PeerDescriptor, PeerSampler, PeerSamplerSettings, Role};
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn given_300_processes_when_all_seeds_end_then_every_process_knows_a_live_controller() {
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
fn given_300_processes_when_they_shuffle_for_60_periods_then_each_is_known_by_a_few_and_messages_stay_small()
{
    let mut cluster = Cluster::new(3, 297, &[0, 1, 2]);
    cluster.run(60);
    let mut known_by = BTreeMap::<_, usize>::new();
    for sampler in cluster.live.values() {
        for entry in sampler.peers(Role::Gateway, None) {
            *known_by.entry(entry.addr).or_default() += 1;
        }
    }
    let (fewest, most) = (known_by.values().min().unwrap(), known_by.values().max().unwrap());
    assert!(
        known_by.len() >= 295 && *fewest >= 5 && *most <= 45,
        "{} known, {fewest} to {most}",
        known_by.len()
    );
    assert!(cluster.largest_message_bytes <= 300, "{} bytes", cluster.largest_message_bytes);
}

#[test]
fn given_controllers_replaced_one_by_one_when_new_ones_know_an_earlier_one_then_all_are_found() {
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
fn given_two_separate_groups_when_one_process_learns_a_seed_of_the_other_group_then_they_merge() {
    let mut cluster = Cluster::new(0, 0, &[]);
    for number in 0..60 {
        let role = if number % 30 == 0 { Role::Controller } else { Role::Gateway };
        cluster.start(number, role, &[number / 30 * 30]);
    }
    cluster.run(20);
    let known_of_other_group = |sampler: &PeerSampler| {
        sampler.known_processes().iter().filter(|entry| entry.addr >= addr(30)).count()
    };
    assert!((0..30).all(|number| known_of_other_group(&cluster.live[&number]) == 0));
    cluster.live.get_mut(&5).unwrap().set_seeds(&[addr(30)]);
    cluster.run(60);
    assert!((0..30).all(|number| known_of_other_group(&cluster.live[&number]) > 3));
}

proptest! {
    #[test]
    fn given_any_samples_when_received_then_known_processes_stay_bounded_and_unique_and_exclude_the_own_one(
        received in prop::collection::vec(
            (0..40u32, any::<bool>(), 0..4usize, 0..9u64, any::<u32>(), any::<bool>()), 0..200,
        ),
        bytes in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        let own_descriptor = PeerDescriptor { addr: addr(0), role: Role::Controller, zone: "north".into(), incarnation: 1, age_ms: 0 };
        let settings = PeerSamplerSettings::default();
        let mut sampler = PeerSampler::new(own_descriptor, &[addr(1)], PERIOD, settings, 7);
        for (period, chunk) in received.chunks(9).enumerate() {
            let sample: Vec<PeerDescriptor> = chunk.iter().map(|&(number, controller, zone, incarnation, age, _)| PeerDescriptor {
                addr: addr(number),
                role: if controller { Role::Controller } else { Role::Gateway },
                zone: ["north", "south", "east", "another zone"][zone].into(),
                incarnation,
                age_ms: age,
            }).collect();
            let (from, now) = (sample[0].addr, PERIOD.times(period as f64));
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
