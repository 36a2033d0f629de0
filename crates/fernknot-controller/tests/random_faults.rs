//! Random days: whatever fault befalls one controller at a time, fault was acknowledged stays.

mod common;

use common::{Fleet, Writes, config_json, ms};
use fernknot_rpc::Subscription;
use test_case::test_case;

/// A seeded generator of random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % most
    }
}

/// Something happens to a controller, lasts a while, and is over.
fn inject_fault(fleet: &mut Fleet, random: &mut Random, fault: u64, at: usize, epochs: &mut Epochs) {
    match fault {
        0 => fleet.kill(at),
        1 => fleet.partition(at),
        2 => fleet.disk(at, Writes::Hang),
        3 => fleet.disk(at, Writes::Fail),
        4 => (1..=3).for_each(|at| fleet.kill(at)),
        _ => {
            fleet.kill(at);
            fleet.wipe(at);
        }
    }
    if fault != 4 {
        for _ in 0..random.below(4) {
            // Not where the fault is: no process, no reply.
            epochs.change(fleet, random, at % 3 + 1);
            fleet.run(ms(random.below(900)));
        }
    }
    match fault {
        0 | 5 => fleet.start(at, false),
        1 => fleet.heal(),
        2 | 3 => fleet.disk(at, Writes::Well),
        _ => (1..=3).for_each(|at| fleet.start(at, false)),
    }
}

/// What operators sent, and fault became of it.
struct Epochs {
    next: u64,
    acknowledged: u64,
    unknown: Vec<u64>,
}

impl Epochs {
    fn change(&mut self, fleet: &mut Fleet, random: &mut Random, at: usize) {
        // On top of fault the operator takes for the newest: the last known outcome, or an unknown one.
        let bases: Vec<u64> = self.unknown.iter().copied().chain([self.acknowledged]).collect();
        let base = bases[random.below(bases.len() as u64) as usize];
        self.next += 1 + random.below(3);
        match fleet.replace(at, base, &config_json(self.next, "p")) {
            200 => {
                self.acknowledged = self.next;
                self.unknown.clear();
            }
            503 | 0 => self.unknown.push(self.next),
            status => assert_eq!(status, 412, "a valid one"),
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn given_a_day_of_faults_when_they_are_over_then_the_newest_acknowledged_is_in_force(seed: u64) {
    for day in 0..12 {
        let mut random = Random(seed * 1000 + day);
        let mut fleet = Fleet::three();
        let mut epochs = Epochs { next: 1, acknowledged: 0, unknown: Vec::new() };
        for _ in 0..6 {
            let at = 1 + random.below(3) as usize;
            epochs.change(&mut fleet, &mut random, at);
            let (fault, at) = (random.below(6), 1 + random.below(3) as usize);
            inject_fault(&mut fleet, &mut random, fault, at, &mut epochs);
            // Within this all are back: only then may another be lost.
            fleet.run(ms(5000 + random.below(2000)));
            let subscriber = fleet.subscribe(at, Subscription::All, 0);
            fleet.run(ms(300));
            let received = fleet.config_epochs(subscriber);
            assert!(received.is_sorted(), "never back: {received:?}");
        }
        fleet.run(ms(6000));
        let reads: Vec<(u16, String)> = (1..=3).map(|at| fleet.read(at)).collect();
        assert!(reads.iter().all(|read| *read == reads[0]), "day {day}: {reads:?}");
        let may_be = |epoch: &u64| reads[0].1 == config_json(*epoch, "p");
        let allowed: Vec<u64> = epochs.unknown.iter().copied().chain([epochs.acknowledged]).collect();
        assert!(reads[0].0 == 200 && allowed.iter().any(may_be), "day {day}: {allowed:?} {:?}", reads[0]);
    }
}
