//! The scenarios that are played: one for each thing that can go wrong between routers.

use crate::checker::{NO_FALSE_FAILURE, ONE_ANSWER};
use crate::schedule::{Routers, Schedule, Step};
use crate::status_names::{ALIVE, FAILED, LEFT, SUSPECTED};

/// The names of all scenarios, as the command line takes them.
pub const NAMES: [&str; 12] = [
    "crash", "pause", "loss", "late", "pair", "one-way", "hears", "speaks", "split", "herd", "roll", "again",
];
/// Scenarios with a fault that is hidden from the checker, and the promise that it has to find broken.
pub const SEEDED_BUGS: [(&str, &str); 2] = [("planted-lost", NO_FALSE_FAILURE), ("planted-stop", ONE_ANSWER)];

/// Requests a second of all clients together.
const LOAD_PER_S: f64 = 30.0;
/// Routers that a rolling restart restarts.
const ROLLED_ROUTERS: usize = 3;
/// How often a router is killed and started again.
const RESTARTS: usize = 3;

/// The schedule of the scenario with this name; `None` if there is none. `period_ms` is the probe period in
/// milliseconds.
pub fn scenario(name: &str, routers: usize, seed: u64, period_ms: f64) -> Option<Schedule> {
    let run = Run::new(routers, seed, period_ms);
    let steps = match name {
        "crash" => run.crash(),
        "pause" => run.pause(),
        "loss" => run.loss(),
        "late" => run.delay_and_duplication(),
        "pair" => run.broken_pair(),
        "one-way" => run.broken_one_way(),
        "hears" => run.inbound_only(),
        "speaks" => run.outbound_only(),
        "split" => run.partition(),
        "herd" => run.mass_failure(),
        "roll" => run.rolling_restart(),
        "again" => run.repeated_restart(),
        "planted-lost" => run.hidden_partition(),
        "planted-stop" => run.kill_with_requests_in_flight(),
        _ => return None,
    };
    let steps = [steps, run.await_full_membership()].concat();
    Some(Schedule { name: name.to_string(), routers, seed, period_ms, load_per_s: LOAD_PER_S, steps })
}

/// The routers of one run. Which are hit goes by the seed, so that seeds differ in more than the network's chance.
struct Run {
    all: Routers,
    period_ms: f64,
    /// The router that is hit.
    victim: usize,
    /// Another one.
    other: usize,
}

fn await_status(observers: &[usize], members: &[usize], statuses: &[&str]) -> Step {
    Step::AwaitStatus {
        observers: observers.to_vec(),
        members: members.to_vec(),
        statuses: statuses.iter().map(|status| status.to_string()).collect(),
    }
}

fn await_view(observers: &[usize], key: &str, value: bool) -> Step {
    Step::AwaitView { observers: observers.to_vec(), key: key.to_string(), value }
}

fn partition(from: &[usize], to: &[usize]) -> Step {
    Step::Partition { from: from.to_vec(), to: to.to_vec(), hidden: false }
}

fn degrade(loss: f64, duplication: f64, max_delay_ms: f64) -> Step {
    Step::Degrade { loss, duplication, max_delay_ms }
}

impl Run {
    fn new(routers: usize, seed: u64, period_ms: f64) -> Run {
        let victim = seed as usize % routers;
        let other = (victim + 1 + seed as usize / routers % (routers - 1)) % routers;
        Run { all: (0..routers).collect(), period_ms, victim, other }
    }

    fn all_but(&self, excluded: &[usize]) -> Routers {
        self.all.iter().copied().filter(|router| !excluded.contains(router)).collect()
    }

    fn others(&self) -> Routers {
        self.all_but(&[self.victim])
    }

    fn heal(&self) -> Step {
        Step::Heal { from: self.all.clone(), to: self.all.clone() }
    }

    fn sustain(&self, periods: f64) -> Step {
        Step::Sustain { ms: (self.period_ms * periods) as u64 }
    }

    fn await_all_alive(&self) -> Step {
        await_status(&self.all, &self.all, &[ALIVE])
    }

    fn await_full_membership(&self) -> Vec<Step> {
        vec![self.await_all_alive(), await_view(&self.all, "majority", true)]
    }

    fn crash(&self) -> Vec<Step> {
        let (victim, others) = (vec![self.victim], self.others());
        vec![
            Step::Kill { routers: victim.clone() },
            await_status(&others, &victim, &[FAILED]),
            await_view(&others, "majority", true),
            Step::Start { routers: victim },
        ]
    }

    /// A pause shorter than any suspicion: nobody may count as failed.
    fn pause(&self) -> Vec<Step> {
        let victim = vec![self.victim];
        vec![
            Step::Suspend { routers: victim.clone() },
            self.sustain(5.0),
            Step::Resume { routers: victim },
            Step::WaitPeriods { periods: 20 },
        ]
    }

    fn loss(&self) -> Vec<Step> {
        vec![degrade(0.2, 0.0, 0.0), self.sustain(40.0), degrade(0.0, 0.0, 0.0)]
    }

    fn delay_and_duplication(&self) -> Vec<Step> {
        vec![degrade(0.0, 0.2, self.period_ms / 4.0), self.sustain(40.0), degrade(0.0, 0.0, 0.0)]
    }

    /// Two routers that do not hear each other, and are heard by all others.
    fn broken_pair(&self) -> Vec<Step> {
        let (victim, other) = ([self.victim], [self.other]);
        vec![
            partition(&victim, &other),
            partition(&other, &victim),
            Step::WaitPeriods { periods: 30 },
            await_status(&self.all, &self.all, &[ALIVE, SUSPECTED]),
            self.heal(),
        ]
    }

    /// A router that one other does not hear.
    fn broken_one_way(&self) -> Vec<Step> {
        vec![
            partition(&[self.victim], &[self.other]),
            Step::WaitPeriods { periods: 30 },
            await_status(&self.all, &self.all, &[ALIVE, SUSPECTED]),
            self.heal(),
        ]
    }

    /// A router that hears all, and that nobody hears: the others take it for failed, and it suspects nobody for good.
    fn inbound_only(&self) -> Vec<Step> {
        let (victim, others) = ([self.victim], self.others());
        vec![
            partition(&victim, &self.all),
            await_status(&others, &victim, &[FAILED]),
            await_status(&victim, &others, &[ALIVE, SUSPECTED]),
            self.heal(),
        ]
    }

    /// A router that all hear, and that hears nobody: it accuses nobody, and takes itself for isolated.
    fn outbound_only(&self) -> Vec<Step> {
        let (victim, others) = ([self.victim], self.others());
        vec![
            partition(&others, &victim),
            await_view(&victim, "alone", true),
            await_view(&victim, "majority", false),
            Step::WaitPeriods { periods: 20 },
            await_status(&victim, &others, &[ALIVE, SUSPECTED]),
            self.heal(),
        ]
    }

    /// A minority and a majority that do not hear each other.
    fn partition(&self) -> Vec<Step> {
        let routers = self.all.len();
        let (minority, majority) = self.all.split_at(routers / 2 - usize::from(routers.is_multiple_of(2)));
        vec![
            partition(minority, majority),
            partition(majority, minority),
            await_status(majority, minority, &[FAILED]),
            await_view(majority, "majority", true),
            await_view(minority, "majority", false),
            self.heal(),
        ]
    }

    /// Seven in ten routers fail at once.
    fn mass_failure(&self) -> Vec<Step> {
        let failed = self.all[..self.all.len() * 7 / 10].to_vec();
        let survivors = self.all_but(&failed);
        vec![
            Step::Kill { routers: failed.clone() },
            await_status(&survivors, &failed, &[FAILED]),
            await_view(&survivors, "majority", false),
            Step::Start { routers: failed },
        ]
    }

    fn rolling_restart(&self) -> Vec<Step> {
        let restart = |router: &usize| {
            [
                Step::Terminate { routers: vec![*router] },
                await_status(&self.all_but(&[*router]), &[*router], &[LEFT, ALIVE]),
                Step::Start { routers: vec![*router] },
                self.await_all_alive(),
            ]
        };
        self.all.iter().take(ROLLED_ROUTERS).flat_map(restart).collect()
    }

    fn repeated_restart(&self) -> Vec<Step> {
        let restart = [
            Step::Kill { routers: vec![self.victim] },
            Step::Start { routers: vec![self.victim] },
            // The restarted one has to hear of all; that the others never noticed is as good.
            self.await_all_alive(),
            Step::WaitPeriods { periods: 5 },
        ];
        std::iter::repeat_n(restart, RESTARTS).flatten().collect()
    }

    fn hidden_partition(&self) -> Vec<Step> {
        let victim = vec![self.victim];
        vec![
            Step::Partition { from: victim.clone(), to: self.all.clone(), hidden: true },
            await_status(&self.others(), &victim, &[FAILED]),
            self.heal(),
        ]
    }

    /// Stalled stores make sure that requests are in flight, which then end without an answer.
    fn kill_with_requests_in_flight(&self) -> Vec<Step> {
        let victim = vec![self.victim];
        vec![
            Step::StallConnections { routers: victim.clone() },
            Step::WaitPeriods { periods: 5 },
            Step::Kill { routers: victim.clone() },
            Step::Start { routers: victim.clone() },
            Step::RestoreConnections { routers: victim },
        ]
    }
}
