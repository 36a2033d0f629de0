//! Real controllers report each window once, while the platform is slow, silent or rejects calls and controllers die.

mod common;

use common::{WAIT_TIMEOUT, build_missing_programs};
use fernknot_simulator::rng::splitmix64;
use fernknot_testbed::cluster::{Cluster, ClusterSettings, Role, wait_until};
use fernknot_testbed::platform::{CallDecision, PlatformBehavior, PlatformStandIn};
use fernknot_testbed::platform_checker::check_calls;
use std::time::Duration;

/// Seed of the faults.
const SEED: u64 = 60;
const ROUNDS: u64 = 6;
const ROUND_DURATION: Duration = Duration::from_millis(2500);
/// Lease of the settings of a cluster with a platform.
const LEASE: Duration = Duration::from_millis(600);

const BEHAVIORS: [PlatformBehavior; 6] = [
    PlatformBehavior::Slow(Duration::from_millis(1500)),
    PlatformBehavior::AcceptSilently,
    PlatformBehavior::Silent,
    PlatformBehavior::AcceptAndClose,
    PlatformBehavior::Reject(429),
    PlatformBehavior::Accept,
];

fn accepted_windows(platform: &PlatformStandIn) -> Vec<u64> {
    let calls = platform.calls();
    let accepted = calls.iter().filter(|call| call.decision == CallDecision::Accepted);
    accepted.map(|call| call.window).collect()
}

#[test]
fn given_random_faults_when_they_are_over_then_every_window_was_reported_with_one_content() {
    build_missing_programs();
    let platform = PlatformStandIn::start().unwrap();
    let settings =
        ClusterSettings { gateways: 0, platform: Some(platform.addr()), ..ClusterSettings::default() };
    let mut cluster = Cluster::start(settings).unwrap();
    cluster.await_controllers(WAIT_TIMEOUT).unwrap();
    wait_until("a window is reported", WAIT_TIMEOUT, || !accepted_windows(&platform).is_empty()).unwrap();
    let mut random = SEED;
    for round in 0..ROUNDS {
        random = splitmix64(random);
        let behavior = BEHAVIORS[(random % BEHAVIORS.len() as u64) as usize];
        platform.set_behavior(behavior);
        let controller = (random >> 8) as usize % 3;
        if (random >> 16).is_multiple_of(2) {
            cluster.kill(Role::Controller, controller).unwrap();
            std::thread::sleep(ROUND_DURATION / 2);
            cluster.restart(Role::Controller, controller).unwrap();
        }
        std::thread::sleep(ROUND_DURATION);
        eprintln!("round {round}: {behavior:?}, {} calls so far", platform.calls().len());
    }
    platform.set_behavior(PlatformBehavior::Accept);
    let last_before = accepted_windows(&platform).into_iter().max().unwrap_or(0);
    let awaited = last_before + 20;
    wait_until("later windows are reported", WAIT_TIMEOUT, || {
        accepted_windows(&platform).into_iter().max() >= Some(awaited)
    })
    .unwrap();
    assert_eq!(check_calls(&platform.calls(), LEASE), []);
    assert_eq!(platform.malformed_calls(), Vec::<String>::new());
}
