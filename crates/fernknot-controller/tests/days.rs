//! Whole days by chance: whatever befalls one controller at a time, what was acknowledged stays.

mod common;

use common::{Fleet, Writes, ms, plan};
use fernknot_rpc::Subscription;
use test_case::test_case;

/// A seeded chance (splitmix64).
struct Chance(u64);

impl Chance {
    fn below(&mut self, most: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % most
    }
}

/// Something happens to a controller, lasts a while, and is over.
fn trouble(fleet: &mut Fleet, chance: &mut Chance, what: u64, at: usize, epochs: &mut Epochs) {
    match what {
        0 => fleet.kill(at),
        1 => fleet.cut_off(at),
        2 => fleet.disk(at, Writes::Hang),
        3 => fleet.disk(at, Writes::Fail),
        4 => (1..=3).for_each(|at| fleet.kill(at)),
        _ => {
            fleet.kill(at);
            fleet.wipe(at);
        }
    }
    if what != 4 {
        for _ in 0..chance.below(4) {
            // Not where the trouble is: no process, no answer.
            epochs.change(fleet, chance, at % 3 + 1);
            fleet.run(ms(chance.below(900)));
        }
    }
    match what {
        0 | 5 => fleet.start(at, false),
        1 => fleet.join_all(),
        2 | 3 => fleet.disk(at, Writes::Well),
        _ => (1..=3).for_each(|at| fleet.start(at, false)),
    }
}

/// What operators sent, and what became of it.
struct Epochs {
    next: u64,
    acknowledged: u64,
    unclear: Vec<u64>,
}

impl Epochs {
    fn change(&mut self, fleet: &mut Fleet, chance: &mut Chance, at: usize) {
        // On top of what the operator takes for the newest: the last clear word, or an unclear one.
        let bases: Vec<u64> = self.unclear.iter().copied().chain([self.acknowledged]).collect();
        let base = bases[chance.below(bases.len() as u64) as usize];
        self.next += 1 + chance.below(3);
        match fleet.replace(at, base, &plan(self.next, "p")) {
            200 => {
                self.acknowledged = self.next;
                self.unclear.clear();
            }
            503 | 0 => self.unclear.push(self.next),
            status => assert_eq!(status, 412, "a sound one"),
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn given_a_day_of_troubles_when_they_are_over_then_the_newest_acknowledged_is_in_force(seed: u64) {
    for day in 0..12 {
        let mut chance = Chance(seed * 1000 + day);
        let mut fleet = Fleet::three();
        let mut epochs = Epochs { next: 1, acknowledged: 0, unclear: Vec::new() };
        for _ in 0..6 {
            let at = 1 + chance.below(3) as usize;
            epochs.change(&mut fleet, &mut chance, at);
            let (what, at) = (chance.below(6), 1 + chance.below(3) as usize);
            trouble(&mut fleet, &mut chance, what, at, &mut epochs);
            // Within this all are back: only then may another be lost.
            fleet.run(ms(5000 + chance.below(2000)));
            let ear = fleet.listen(at, Subscription::All, 0);
            fleet.run(ms(300));
            let told = fleet.plans(ear);
            assert!(told.is_sorted(), "never back: {told:?}");
        }
        fleet.run(ms(6000));
        let reads: Vec<(u16, String)> = (1..=3).map(|at| fleet.read(at)).collect();
        assert!(reads.iter().all(|read| *read == reads[0]), "day {day}: {reads:?}");
        let may_be = |epoch: &u64| reads[0].1 == plan(*epoch, "p");
        let allowed: Vec<u64> = epochs.unclear.iter().copied().chain([epochs.acknowledged]).collect();
        assert!(reads[0].0 == 200 && allowed.iter().any(may_be), "day {day}: {allowed:?} {:?}", reads[0]);
    }
}
