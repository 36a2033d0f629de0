//! A scenario as faults with their times.

use super::scenario::Scenario;
use super::timing::{
    CRASH_INTERVAL, FAULT_END, FAULT_START, PAUSE, RESTART_SPREAD, ROLL_END, ROLL_INTERVAL, ROLL_START,
};
use fernknot::interface::Nanos;
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::collections::BTreeSet;

/// Processes that crash, with many routers and with few.
const CRASHES: u32 = 5;
const CRASHES_OF_FEW: u32 = 1;
const MANY_ROUTERS: u32 = 10;
/// The share of broken links that are broken both ways.
const BOTH_WAYS_SHARE: f64 = 0.1;

/// Something that happens to a process or to the network.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// The process is gone at once.
    Kill(u32),
    /// The process announces that it leaves.
    Leave(u32),
    /// A process starts.
    Start(u32),
    /// The process stands still.
    Suspend(u32),
    /// The process runs on.
    Resume(u32),
    /// The network's fault begins.
    NetworkFaultBegins,
    /// The network's fault is over.
    NetworkFaultEnds,
}

/// Two routers in the order of sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Link {
    /// The sender.
    pub from: u32,
    /// The receiver.
    pub to: u32,
}

/// All faults of a run.
pub(super) struct FaultPlan {
    /// Each fault with its time.
    pub faults: Vec<(Nanos, Fault)>,
    /// From when on routers are expected to find together again, if ever.
    pub recovers_at: Option<Nanos>,
    /// Links that are broken while the network's fault lasts.
    pub broken_links: BTreeSet<Link>,
}

/// A random sample of routers, in ascending order.
pub(super) fn sample(rng: &mut ChaCha8Rng, count: u32, routers: u32) -> Vec<u32> {
    let (count, all) = ((count as usize).min(routers as usize), routers as usize);
    let mut sample: Vec<u32> =
        rand::seq::index::sample(rng, all, count).iter().map(|router| router as u32).collect();
    sample.sort_unstable();
    sample
}

impl FaultPlan {
    /// The faults of a scenario, drawn at random where it has a choice.
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
        let crashes = if routers > MANY_ROUTERS { CRASHES } else { CRASHES_OF_FEW };
        let victims = sample(rng, crashes, routers).into_iter();
        let time = |index: usize| FAULT_START + Nanos(index as u64 * CRASH_INTERVAL.0);
        let faults = victims.enumerate().map(|(index, victim)| (time(index), Fault::Kill(victim)));
        FaultPlan::of_processes(faults.collect(), None)
    }

    fn pause(routers: u32, rng: &mut ChaCha8Rng) -> FaultPlan {
        let victims = sample(rng, tenth(routers), routers).into_iter();
        let pause =
            |victim| [(FAULT_START, Fault::Suspend(victim)), (FAULT_START + PAUSE, Fault::Resume(victim))];
        FaultPlan::of_processes(victims.flat_map(pause).collect(), Some(FAULT_START + PAUSE))
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
            let begin = FAULT_START + Nanos(step * ROLL_INTERVAL.0);
            faults.push((begin, Fault::Leave(router as u32)));
            faults.push((begin + ROLL_END, Fault::Kill(router as u32)));
            faults.push((begin + ROLL_START, Fault::Start(router as u32)));
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

/// Each router is not heard by one other, and a tenth of these pairs not either way.
fn one_way_links(routers: u32, rng: &mut ChaCha8Rng) -> BTreeSet<Link> {
    let mut links = BTreeSet::new();
    for from in 0..routers {
        let to = (from + rng.random_range(1..routers)) % routers;
        links.insert(Link { from, to });
        if rng.random_bool(BOTH_WAYS_SHARE) {
            links.insert(Link { from: to, to: from });
        }
    }
    links
}
