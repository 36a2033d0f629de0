//! Random faults of one controller, or restarts of all: the newest acknowledged version stays active.

mod common;

use common::{Cluster, WriteMode, config_json, ms};
use fernknot_rpc::Subscription;
use test_case::test_case;

/// A seeded generator of random numbers (splitmix64).
struct Random(u64);

impl Random {
    fn next_below(&mut self, bound: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let z = (self.0 ^ (self.0 >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        let z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        (z ^ (z >> 31)) % bound
    }
}

/// Injects a fault at a controller, sends changes to another one meanwhile, and repairs the fault.
fn inject_fault(
    cluster: &mut Cluster,
    random: &mut Random,
    fault: u64,
    controller: usize,
    changes: &mut OperatorChanges,
) {
    match fault {
        0 => cluster.kill(controller),
        1 => cluster.partition(controller),
        2 => cluster.set_write_mode(controller, WriteMode::Hang),
        3 => cluster.set_write_mode(controller, WriteMode::Fail),
        4 => (1..=3).for_each(|controller| cluster.kill(controller)),
        _ => {
            cluster.kill(controller);
            cluster.wipe(controller);
        }
    }
    if fault != 4 {
        for _ in 0..random.next_below(4) {
            // A controller without a process sends no reply.
            changes.send_change(cluster, random, controller % 3 + 1);
            cluster.run(ms(random.next_below(900)));
        }
    }
    match fault {
        0 | 5 => cluster.start(controller, false),
        1 => cluster.heal(),
        2 | 3 => cluster.set_write_mode(controller, WriteMode::Succeed),
        _ => (1..=3).for_each(|controller| cluster.start(controller, false)),
    }
}

/// Epochs of the changes that an operator sent, by outcome.
struct OperatorChanges {
    next_epoch: u64,
    acknowledged_epoch: u64,
    unknown_epochs: Vec<u64>,
}

impl OperatorChanges {
    fn send_change(&mut self, cluster: &mut Cluster, random: &mut Random, controller: usize) {
        // Builds on a version that may be the newest: the last acknowledged one, or one whose change had an unknown
        // outcome.
        let bases: Vec<u64> = self.unknown_epochs.iter().copied().chain([self.acknowledged_epoch]).collect();
        let base = bases[random.next_below(bases.len() as u64) as usize];
        self.next_epoch += 1 + random.next_below(3);
        match cluster.replace_config(controller, base, &config_json(self.next_epoch, "p")) {
            200 => {
                self.acknowledged_epoch = self.next_epoch;
                self.unknown_epochs.clear();
            }
            503 | 0 => self.unknown_epochs.push(self.next_epoch),
            status => assert_eq!(status, 412, "status of a valid change"),
        }
    }
}

#[test_case(1)]
#[test_case(2)]
#[test_case(3)]
#[test_case(4)]
fn given_random_faults_when_they_are_repaired_then_the_newest_acknowledged_version_is_active(seed: u64) {
    for run_number in 0..12 {
        let mut random = Random(seed * 1000 + run_number);
        let mut cluster = Cluster::of_three();
        let mut changes =
            OperatorChanges { next_epoch: 1, acknowledged_epoch: 0, unknown_epochs: Vec::new() };
        for _ in 0..6 {
            let controller = 1 + random.next_below(3) as usize;
            changes.send_change(&mut cluster, &mut random, controller);
            let (fault, controller) = (random.next_below(6), 1 + random.next_below(3) as usize);
            inject_fault(&mut cluster, &mut random, fault, controller, &mut changes);
            // All controllers recover within this time; only then may the next one fail.
            cluster.run(ms(5000 + random.next_below(2000)));
            let subscriber = cluster.subscribe(controller, Subscription::All, 0);
            cluster.run(ms(300));
            let received = cluster.config_epochs(subscriber);
            assert!(received.is_sorted(), "an older version was received after a newer one: {received:?}");
        }
        cluster.run(ms(6000));
        let reads: Vec<(u16, String)> = (1..=3).map(|controller| cluster.read_config(controller)).collect();
        assert!(reads.iter().all(|read| *read == reads[0]), "run {run_number}: {reads:?}");
        let is_active = |epoch: &u64| reads[0].1 == config_json(*epoch, "p");
        let allowed: Vec<u64> =
            changes.unknown_epochs.iter().copied().chain([changes.acknowledged_epoch]).collect();
        assert!(
            reads[0].0 == 200 && allowed.iter().any(is_active),
            "run {run_number}: {allowed:?} {:?}",
            reads[0]
        );
    }
}
