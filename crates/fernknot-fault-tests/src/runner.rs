//! Plays a schedule, and judges what it left behind.

use crate::checker::{CONDITION_MET, Violation, check};
use crate::clients::Clients;
use crate::cluster::Cluster;
use crate::connection_relay::ConnectionMode;
use crate::error::FaultTestError;
use crate::history::History;
use crate::router_view::RouterView;
use crate::schedule::{Schedule, Step};
use crate::status_names::ALIVE;
use rustix::process::Signal;
use std::thread;
use std::time::{Duration, Instant};

/// What a run left behind.
pub struct RunResult {
    /// All that was recorded.
    pub history: History,
    /// The promises that were not kept.
    pub violations: Vec<Violation>,
    /// The index of each step that was played, and how long it took.
    pub step_durations: Vec<(usize, Duration)>,
    /// Membership datagrams that one router sent in a second, in the mean over those that ran to the end.
    pub datagrams_per_s: f64,
}

/// What playing the steps showed.
#[derive(Default)]
struct PlayedSteps {
    durations: Vec<(usize, Duration)>,
    violation: Option<Violation>,
}

/// Plays a schedule and judges it.
///
/// # Errors
///
/// A [`FaultTestError`] if the processes could not be started or did not become ready. A step that fails later is a
/// violation.
pub fn play(schedule: &Schedule) -> Result<RunResult, FaultTestError> {
    let mut cluster = Cluster::start(schedule)?;
    await_ready(&mut cluster, schedule).map_err(|error| FaultTestError::NeverReady(Box::new(error)))?;
    let run_start = cluster.run_start();
    let clients = Clients::start(cluster.client_addresses(), schedule.load_per_s, schedule.seed, run_start);
    let sent_before = cluster.datagrams_sent();
    let start = Instant::now();
    let played = play_steps(&mut cluster, schedule);
    let took = start.elapsed();
    let datagrams_per_s = mean_rate(&sent_before, &cluster.datagrams_sent(), took);
    let history = History {
        router_count: schedule.routers,
        probe_period: probe_period(schedule),
        requests: clients.finish(),
        store_calls: cluster.store_calls(),
        status_changes: cluster.take_status_changes(),
        fault_events: cluster.take_fault_events(),
    };
    let violations = played.violation.into_iter().chain(check(&history)).collect();
    Ok(RunResult { history, violations, step_durations: played.durations, datagrams_per_s })
}

fn probe_period(schedule: &Schedule) -> Duration {
    Duration::from_secs_f64(schedule.period_ms / 1e3)
}

/// All routers know each other, and no view is settling any more.
fn await_ready(cluster: &mut Cluster, schedule: &Schedule) -> Result<(), FaultTestError> {
    let all: Vec<usize> = (0..schedule.routers).collect();
    await_statuses(cluster, &all, &all, &[ALIVE.to_string()])?;
    await_own_view(cluster, &all, "young", false)
}

/// Plays the steps up to the first that fails.
fn play_steps(cluster: &mut Cluster, schedule: &Schedule) -> PlayedSteps {
    let mut played = PlayedSteps::default();
    for (index, step) in schedule.steps.iter().enumerate() {
        let start = Instant::now();
        if let Err(error) = play_step(cluster, schedule, step) {
            let evidence = vec![format!("steps[{index}]: {error}")];
            played.violation = Some(Violation { promise: CONDITION_MET, evidence });
            break;
        }
        played.durations.push((index, start.elapsed()));
    }
    played
}

fn play_step(cluster: &mut Cluster, schedule: &Schedule, step: &Step) -> Result<(), FaultTestError> {
    match step {
        Step::Kill { routers } => cluster.end(routers, Signal::KILL)?,
        Step::Suspend { routers } => cluster.take_down(routers, Signal::STOP)?,
        Step::Resume { routers } => cluster.resume(routers)?,
        Step::Terminate { routers } => cluster.end(routers, Signal::TERM)?,
        Step::Start { routers } => cluster.restart(routers)?,
        Step::Partition { from, to, hidden } => cluster.partition(from, to, *hidden),
        Step::Heal { from, to } => cluster.heal(from, to),
        Step::Degrade { loss, duplication, max_delay_ms } => {
            cluster.degrade(*loss, *duplication, Duration::from_secs_f64(max_delay_ms / 1e3));
        }
        Step::StallConnections { routers } => cluster.set_connection_mode(routers, ConnectionMode::Stall),
        Step::ResetConnections { routers } => cluster.set_connection_mode(routers, ConnectionMode::Reset),
        Step::RestoreConnections { routers } => cluster.set_connection_mode(routers, ConnectionMode::Pass),
        Step::AwaitStatus { observers, members, statuses } => {
            await_statuses(cluster, observers, members, statuses)?;
        }
        Step::AwaitView { observers, key, value } => await_own_view(cluster, observers, key, *value)?,
        Step::Sustain { ms } => thread::sleep(Duration::from_millis(*ms)),
        Step::WaitPeriods { periods } => thread::sleep(probe_period(schedule).mul_f64(*periods as f64)),
    }
    Ok(())
}

fn await_statuses(
    cluster: &Cluster,
    observers: &[usize],
    members: &[usize],
    statuses: &[String],
) -> Result<(), FaultTestError> {
    let description = format!("{members:?} never {statuses:?} at all of {observers:?}");
    cluster.await_views(observers, &description, |view: &RouterView, observer| {
        let has_status =
            |member: &usize| view.statuses.get(member).is_some_and(|status| statuses.contains(status));
        members.iter().filter(|member| **member != observer).all(has_status)
    })
}

fn await_own_view(
    cluster: &Cluster,
    observers: &[usize],
    key: &str,
    value: bool,
) -> Result<(), FaultTestError> {
    let description = format!("{key} never {value} at all of {observers:?}");
    let expected = value.to_string();
    cluster.await_views(observers, &description, |view, _| view.own.get(key) == Some(&expected))
}

/// The mean of the rates of those that ran at both times, a second.
fn mean_rate(before: &[Option<u64>], after: &[Option<u64>], took: Duration) -> f64 {
    let sent = |(before, after): (&Option<u64>, &Option<u64>)| (*after)?.checked_sub((*before)?);
    let counts = before.iter().zip(after).filter_map(sent);
    let rates: Vec<f64> = counts.map(|count| count as f64 / took.as_secs_f64()).collect();
    rates.iter().sum::<f64>() / rates.len().max(1) as f64
}
