//! Faults of a scenario, with the times at which they begin and end.

use super::scenario::Scenario;
use super::timing::{
    CRASH_INTERVAL, FAULT_END, FAULT_START, PAUSE_DURATION, RESTART_SPREAD, ROLL_KILL_DELAY,
    ROLL_RESTART_DELAY, ROLL_STEP_INTERVAL,
};
use fernknot::interface::Nanos;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Number of crashes among more than [`SMALL_FLEET_MAX_ROUTERS`] routers.
const CRASHES_IN_LARGE_FLEET: u32 = 5;
/// Number of crashes among at most [`SMALL_FLEET_MAX_ROUTERS`] routers.
const CRASHES_IN_SMALL_FLEET: u32 = 1;
const SMALL_FLEET_MAX_ROUTERS: u32 = 10;
/// Share of one-way faults that also break the opposite direction.
const BIDIRECTIONAL_SHARE: f64 = 0.1;

/// Fault of a process or of the network, or its end. Processes are named by their router's number.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The process is killed without notice.
    Kill(u32),
    /// The process announces its shutdown.
    Leave(u32),
    /// The process starts.
    Start(u32),
    /// The process is suspended.
    Suspend(u32),
    /// The process resumes.
    Resume(u32),
    /// The scenario's network fault begins.
    NetworkFaultBegins,
    /// The scenario's network fault ends.
    NetworkFaultEnds,
}

/// Directed link between two routers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    /// Number of the sender.
    pub from: u32,
    /// Number of the receiver.
    pub to: u32,
}

/// Faults of a run.
pub(super) struct FaultPlan {
    /// Faults with the times at which they occur, in any order.
    pub faults: Vec<(Nanos, Fault)>,
    /// Time from which rejoins of failed routers are measured; `None` if no failed router returns.
    pub recovers_at: Option<Nanos>,
    /// Links that deliver nothing during the network fault of the one-way scenario; empty in all others.
    pub broken_links: BTreeSet<Link>,
}

/// Draws up to `count` distinct routers, in ascending order.
pub(super) fn sample(rng: &mut ChaCha8Rng, count: u32, routers: u32) -> Vec<u32> {
    let (count, all) = ((count as usize).min(routers as usize), routers as usize);
    let mut sample: Vec<u32> =
        rand::seq::index::sample(rng, all, count).iter().map(|router| router as u32).collect();
    sample.sort_unstable();
    sample
}

impl FaultPlan {
    /// Creates the faults of a scenario; their victims and some times are random.
    pub fn new(scenario: Scenario, routers: u32, rng: &mut ChaCha8Rng) -> FaultPlan {
        match scenario {
            Scenario::Crash => FaultPlan::crash(routers, rng),
            Scenario::Pause => FaultPlan::pause(routers, rng),
            Scenario::MassFailure => FaultPlan::mass_failure(routers, rng),
            Scenario::RollingRestart => FaultPlan::rolling_restart(routers, rng),
            Scenario::OneWay => FaultPlan::network_fault(one_way_links(routers, rng)),
            Scenario::Loss | Scenario::Ring | Scenario::Partition => {
                FaultPlan::network_fault(BTreeSet::new())
            }
        }
    }

    fn of_processes(faults: Vec<(Nanos, Fault)>, recovers_at: Option<Nanos>) -> FaultPlan {
        FaultPlan { faults, recovers_at, broken_links: BTreeSet::new() }
    }

    fn crash(routers: u32, rng: &mut ChaCha8Rng) -> FaultPlan {
        let crashes =
            if routers > SMALL_FLEET_MAX_ROUTERS { CRASHES_IN_LARGE_FLEET } else { CRASHES_IN_SMALL_FLEET };
        let victims = sample(rng, crashes, routers).into_iter();
        let time = |index: usize| FAULT_START + Nanos(index as u64 * CRASH_INTERVAL.0);
        let faults = victims.enumerate().map(|(index, victim)| (time(index), Fault::Kill(victim)));
        FaultPlan::of_processes(faults.collect(), None)
    }

    fn pause(routers: u32, rng: &mut ChaCha8Rng) -> FaultPlan {
        let victims = sample(rng, tenth(routers), routers).into_iter();
        let pause = |victim| {
            [(FAULT_START, Fault::Suspend(victim)), (FAULT_START + PAUSE_DURATION, Fault::Resume(victim))]
        };
        FaultPlan::of_processes(victims.flat_map(pause).collect(), Some(FAULT_START + PAUSE_DURATION))
    }

    fn mass_failure(routers: u32, rng: &mut ChaCha8Rng) -> FaultPlan {
        let mut faults = Vec::new();
        for victim in sample(rng, routers * 7 / 10, routers) {
            faults.push((FAULT_START, Fault::Kill(victim)));
            let restart = FAULT_END + Nanos(rng.random_range(0..RESTART_SPREAD.0));
            faults.push((restart, Fault::Start(victim)));
        }
        FaultPlan::of_processes(faults, Some(FAULT_END))
    }

    fn rolling_restart(routers: u32, rng: &mut ChaCha8Rng) -> FaultPlan {
        let order = rand::seq::index::sample(rng, routers as usize, routers as usize);
        let mut faults = Vec::new();
        for (index, router) in order.iter().enumerate() {
            let step = index as u64 / u64::from(tenth(routers));
            let step_start = FAULT_START + Nanos(step * ROLL_STEP_INTERVAL.0);
            faults.push((step_start, Fault::Leave(router as u32)));
            faults.push((step_start + ROLL_KILL_DELAY, Fault::Kill(router as u32)));
            faults.push((step_start + ROLL_RESTART_DELAY, Fault::Start(router as u32)));
        }
        FaultPlan::of_processes(faults, Some(FAULT_END))
    }

    fn network_fault(broken_links: BTreeSet<Link>) -> FaultPlan {
        let faults = vec![(FAULT_START, Fault::NetworkFaultBegins), (FAULT_END, Fault::NetworkFaultEnds)];
        FaultPlan { faults, recovers_at: Some(FAULT_END), broken_links }
    }
}

fn tenth(routers: u32) -> u32 {
    (routers / 10).max(1)
}

/// Draws for each router another one that cannot receive from it; for a tenth of these pairs, neither direction works.
fn one_way_links(routers: u32, rng: &mut ChaCha8Rng) -> BTreeSet<Link> {
    let mut links = BTreeSet::new();
    for from in 0..routers {
        let to = (from + rng.random_range(1..routers)) % routers;
        links.insert(Link { from, to });
        if rng.random_bool(BIDIRECTIONAL_SHARE) {
            links.insert(Link { from: to, to: from });
        }
    }
    links
}
