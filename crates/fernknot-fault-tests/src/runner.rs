//! Runs a schedule and checks the recorded history.

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

/// Result of a run of a schedule.
pub struct RunResult {
    /// Record of the run, from which the violations were found.
    pub history: History,
    /// Violations of invariants; first the step that failed, if one did.
    pub violations: Vec<Violation>,
    /// Index in the schedule and duration of each completed step.
    pub step_durations: Vec<(usize, Duration)>,
    /// Mean number of membership datagrams per router and second, over the routers that ran at the start and at the
    /// end.
    pub datagrams_per_s: f64,
}

/// Durations of the completed steps, and the violation by the step that failed, if one did.
#[derive(Default)]
struct StepResults {
    durations: Vec<(usize, Duration)>,
    violation: Option<Violation>,
}

/// Runs a schedule and checks the recorded history.
///
/// # Errors
///
/// Returns a [`FaultTestError`] if the processes cannot be started or do not become ready. A step that fails later is
/// a violation.
pub fn run_schedule(schedule: &Schedule) -> Result<RunResult, FaultTestError> {
    let mut cluster = Cluster::start(schedule)?;
    await_ready(&mut cluster, schedule).map_err(|error| FaultTestError::NotReady(Box::new(error)))?;
    let run_start = cluster.run_start();
    let clients = Clients::start(cluster.client_addresses(), schedule.load_per_s, schedule.seed, run_start);
    let sent_before = cluster.datagrams_sent();
    let start = Instant::now();
    let results = run_steps(&mut cluster, schedule);
    let elapsed = start.elapsed();
    let datagrams_per_s = mean_rate(&sent_before, &cluster.datagrams_sent(), elapsed);
    let history = History {
        router_count: schedule.routers,
        probe_period: probe_period(schedule),
        requests: clients.finish(),
        store_calls: cluster.store_calls(),
        status_changes: cluster.take_status_changes(),
        fault_events: cluster.take_fault_events(),
    };
    let violations = results.violation.into_iter().chain(check(&history)).collect();
    Ok(RunResult { history, violations, step_durations: results.durations, datagrams_per_s })
}

fn probe_period(schedule: &Schedule) -> Duration {
    Duration::from_secs_f64(schedule.period_ms / 1e3)
}

/// Waits until all routers show each other as alive and none reports any more that it is `young`: that its view is not
/// yet reliable after its start.
fn await_ready(cluster: &mut Cluster, schedule: &Schedule) -> Result<(), FaultTestError> {
    let all: Vec<usize> = (0..schedule.routers).collect();
    await_statuses(cluster, &all, &all, &[ALIVE.to_string()])?;
    await_own_view(cluster, &all, "young", false)
}

/// Runs the steps up to the first that fails.
fn run_steps(cluster: &mut Cluster, schedule: &Schedule) -> StepResults {
    let mut results = StepResults::default();
    for (index, step) in schedule.steps.iter().enumerate() {
        let start = Instant::now();
        if let Err(error) = run_step(cluster, schedule, step) {
            let evidence = vec![format!("steps[{index}]: {error}")];
            results.violation = Some(Violation { invariant: CONDITION_MET, evidence });
            break;
        }
        results.durations.push((index, start.elapsed()));
    }
    results
}

fn run_step(cluster: &mut Cluster, schedule: &Schedule, step: &Step) -> Result<(), FaultTestError> {
    match step {
        Step::Kill { routers } => cluster.signal_and_reap(routers, Signal::KILL)?,
        Step::Suspend { routers } => cluster.record_down_and_signal(routers, Signal::STOP)?,
        Step::Resume { routers } => cluster.resume(routers)?,
        Step::Terminate { routers } => cluster.signal_and_reap(routers, Signal::TERM)?,
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
    let condition = format!("routers {members:?} shown as one of {statuses:?} by each of {observers:?}");
    cluster.await_views(observers, &condition, |view: &RouterView, observer| {
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
    let condition = format!("{key}={value} reported by each of {observers:?}");
    let expected = value.to_string();
    cluster.await_views(observers, &condition, |view, _| view.own_report.get(key) == Some(&expected))
}

/// Returns the mean number of datagrams per second over the routers whose counts are known before and after.
fn mean_rate(before: &[Option<u64>], after: &[Option<u64>], elapsed: Duration) -> f64 {
    let sent = |(before, after): (&Option<u64>, &Option<u64>)| (*after)?.checked_sub((*before)?);
    let counts = before.iter().zip(after).filter_map(sent);
    let rates: Vec<f64> = counts.map(|count| count as f64 / elapsed.as_secs_f64()).collect();
    rates.iter().sum::<f64>() / rates.len().max(1) as f64
}
