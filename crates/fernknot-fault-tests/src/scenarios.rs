//! Fault scenarios, as schedules.

use crate::checker::{NO_FALSE_FAILURE, ONE_ANSWER};
use crate::schedule::{Routers, Schedule, Step};
use crate::status_names::{ALIVE, FAILED, LEFT, SUSPECTED};

/// Names of all scenarios, as the command line accepts them.
pub const NAMES: [&str; 12] = [
    "crash", "pause", "loss", "late", "pair", "one-way", "hears", "speaks", "split", "herd", "roll", "again",
];
/// Scenarios that violate an invariant on purpose, each with the invariant; they test that the checker finds
/// violations. `planted-stop` violates its invariant only if the recorded faults are removed from the history, as its
/// test does.
pub const SEEDED_BUGS: [(&str, &str); 2] = [("planted-lost", NO_FALSE_FAILURE), ("planted-stop", ONE_ANSWER)];

/// Total requests per second of all clients.
const LOAD_PER_S: f64 = 30.0;
/// Number of routers that a rolling restart restarts.
const ROLLING_RESTART_ROUTERS: usize = 3;
/// Number of times that a router is killed and restarted.
const RESTART_COUNT: usize = 3;

/// Returns the schedule of the scenario with this name; `None` if there is none. `period_ms` is the probe period in
/// milliseconds.
pub fn scenario(name: &str, routers: usize, seed: u64, period_ms: f64) -> Option<Schedule> {
    let scenario_routers = ScenarioRouters::new(routers, seed, period_ms);
    let steps = match name {
        "crash" => scenario_routers.crash(),
        "pause" => scenario_routers.pause(),
        "loss" => scenario_routers.loss(),
        "late" => scenario_routers.delay_and_duplication(),
        "pair" => scenario_routers.broken_pair(),
        "one-way" => scenario_routers.broken_one_way(),
        "hears" => scenario_routers.inbound_only(),
        "speaks" => scenario_routers.outbound_only(),
        "split" => scenario_routers.partition(),
        "herd" => scenario_routers.mass_failure(),
        "roll" => scenario_routers.rolling_restart(),
        "again" => scenario_routers.repeated_restart(),
        "planted-lost" => scenario_routers.hidden_partition(),
        "planted-stop" => scenario_routers.kill_with_requests_in_flight(),
        _ => return None,
    };
    let steps = [steps, scenario_routers.await_full_membership()].concat();
    Some(Schedule { name: name.to_string(), routers, seed, period_ms, load_per_s: LOAD_PER_S, steps })
}

/// Routers of one run. The seed selects the affected ones, so that seeds differ in more than random network faults.
struct ScenarioRouters {
    all: Routers,
    period_ms: f64,
    /// Router that a fault of a single router affects.
    victim: usize,
    /// Other end of the link in faults of a single link of the victim.
    link_peer: usize,
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

impl ScenarioRouters {
    fn new(routers: usize, seed: u64, period_ms: f64) -> ScenarioRouters {
        let victim = seed as usize % routers;
        let link_peer = (victim + 1 + seed as usize / routers % (routers - 1)) % routers;
        ScenarioRouters { all: (0..routers).collect(), period_ms, victim, link_peer }
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

    /// A pause of five probe periods, which is shorter than the suspicion time-out, so that no router may be declared
    /// failed.
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

    /// Two routers without a link in either direction; each of the two can reach all others.
    fn broken_pair(&self) -> Vec<Step> {
        let (victim, link_peer) = ([self.victim], [self.link_peer]);
        vec![
            partition(&victim, &link_peer),
            partition(&link_peer, &victim),
            Step::WaitPeriods { periods: 30 },
            await_status(&self.all, &self.all, &[ALIVE, SUSPECTED]),
            self.heal(),
        ]
    }

    /// A router from which one other router receives nothing.
    fn broken_one_way(&self) -> Vec<Step> {
        vec![
            partition(&[self.victim], &[self.link_peer]),
            Step::WaitPeriods { periods: 30 },
            await_status(&self.all, &self.all, &[ALIVE, SUSPECTED]),
            self.heal(),
        ]
    }

    /// A router that receives from all others but cannot send: the others declare it failed, and it declares none of
    /// them failed.
    fn inbound_only(&self) -> Vec<Step> {
        let (victim, others) = ([self.victim], self.others());
        vec![
            partition(&victim, &self.all),
            await_status(&others, &victim, &[FAILED]),
            await_status(&victim, &others, &[ALIVE, SUSPECTED]),
            self.heal(),
        ]
    }

    /// A router that can send but receives nothing: it considers itself isolated and declares none of the others
    /// failed.
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

    /// A partition between a minority and a majority.
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
        self.all.iter().take(ROLLING_RESTART_ROUTERS).flat_map(restart).collect()
    }

    fn repeated_restart(&self) -> Vec<Step> {
        let restart = [
            Step::Kill { routers: vec![self.victim] },
            Step::Start { routers: vec![self.victim] },
            // The restarted router must learn of all others; the others need not have noticed its absence.
            self.await_all_alive(),
            Step::WaitPeriods { periods: 5 },
        ];
        std::iter::repeat_n(restart, RESTART_COUNT).flatten().collect()
    }

    fn hidden_partition(&self) -> Vec<Step> {
        let victim = vec![self.victim];
        vec![
            Step::Partition { from: victim.clone(), to: self.all.clone(), hidden: true },
            await_status(&self.others(), &victim, &[FAILED]),
            self.heal(),
        ]
    }

    /// Kills a router while stalled connections to the stores keep requests in flight, so that these requests end
    /// without an answer.
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
