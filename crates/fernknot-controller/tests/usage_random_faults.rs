//! Under random faults of controllers, network, clocks and platform, the platform accepts one content a window and
//! sees no token of two holders; once the faults are over, windows are reported in time.

mod common;

use common::{Cluster, PlatformMode, WriteMode, ms};
use fernknot::interface::Nanos;
use fernknot_ownership::splitmix64;
use fernknot_usage_reporting::ReportingSettings;
use test_case::test_case;

const CONTROLLERS: usize = 5;
const TOLERATED_LOSSES: usize = 2;
const FAULTS: usize = 25;
const USAGE_DELAY: Nanos = Nanos(10_000_000_000);
/// Time after the last fault within which views, connections and the backlog of windows recover.
const RECOVERY_MS: u64 = 30_000;

struct Random(u64);

impl Random {
    fn below(&mut self, bound: u64) -> u64 {
        self.0 = splitmix64(self.0);
        (self.0 >> 16) % bound
    }
}

fn cluster() -> Cluster {
    let settings = ReportingSettings {
        holder: String::new(),
        lease: ms(3000),
        window: ms(5000),
        usage_delay: USAGE_DELAY,
        calls_per_s: 50.0,
    };
    Cluster::with_usage_reporting(CONTROLLERS, TOLERATED_LOSSES, settings)
}

fn platform_mode(random: &mut Random) -> PlatformMode {
    match random.below(8) {
        0 => PlatformMode::Slow(ms(random.below(6000))),
        1 => PlatformMode::AcceptSilently,
        2 => PlatformMode::Silent,
        3 => PlatformMode::AcceptAndReset,
        4 => PlatformMode::Reject(429),
        5 => PlatformMode::Unreachable,
        _ => PlatformMode::Accept,
    }
}

/// Injects one fault, lets it last, and ends it.
fn play_fault(cluster: &mut Cluster, random: &mut Random) {
    cluster.platform.mode = platform_mode(random);
    let machine_id = 1 + random.below(CONTROLLERS as u64) as usize;
    let duration = ms(200 + random.below(6000));
    match random.below(7) {
        0 => {
            cluster.kill(machine_id);
            cluster.run(duration);
            cluster.start(machine_id, false);
        }
        1 => {
            cluster.freeze(machine_id);
            cluster.run(duration);
            cluster.thaw(machine_id);
        }
        2 => {
            cluster.partition(machine_id);
            cluster.run(duration);
            cluster.heal();
        }
        3 => {
            cluster.partition_one_way(machine_id, 1 + machine_id % CONTROLLERS);
            cluster.run(duration);
            cluster.heal();
        }
        4 => {
            cluster.set_write_mode(machine_id, WriteMode::Hang);
            cluster.run(duration);
            cluster.set_write_mode(machine_id, WriteMode::Succeed);
        }
        5 => {
            let step_ms = random.below(20_000) as i64 - 10_000;
            cluster.clock_error_ms.insert(machine_id, step_ms);
            cluster.run(duration);
            cluster.clock_error_ms.clear();
        }
        _ => cluster.run(duration),
    }
    cluster.run(ms(random.below(3000)));
}

#[test_case(0..8)]
#[test_case(8..16)]
fn given_random_faults_when_they_are_over_then_usage_was_reported_once_and_goes_on_in_time(
    seeds: std::ops::Range<u64>,
) {
    for seed in seeds {
        let mut random = Random(seed + 1000);
        let mut cluster = cluster();
        cluster.run(ms(10_000));
        for _ in 0..FAULTS {
            play_fault(&mut cluster, &mut random);
        }
        cluster.platform.mode = PlatformMode::Accept;
        let over_at = cluster.now;
        cluster.run(ms(RECOVERY_MS + 40_000));
        let now = cluster.now;
        cluster.platform.check_due(now, USAGE_DELAY, over_at + ms(RECOVERY_MS));
    }
}
