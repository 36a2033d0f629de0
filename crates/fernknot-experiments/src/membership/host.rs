//! Simulated router: its process, its socket and its traffic.

use super::cold_budget::BudgetShare;
use super::fixed_heartbeat::FixedHeartbeat;
use super::process_io::{Input, Output};
use fernknot::interface::Nanos;
use fernknot_membership::{
    Action, MembershipProtocol, MembershipSettings, ReportedStatus, RouterId, Status,
    Variant as ProtocolVariant,
};
use std::collections::VecDeque;

const PROBE_PERIOD: Nanos = Nanos(400_000_000);
const DATAGRAMS_PER_S: f64 = 16.0;
const MAX_DATAGRAM_BYTES: usize = 256;
/// Maximum number of datagrams in the socket buffer of a router, which fills up while the process is suspended; further
/// datagrams are dropped.
const MAX_INBOX_DATAGRAMS: usize = 256;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// Wall-clock time at the start of the simulation, in milliseconds.
const WALL_CLOCK_START_MS: u64 = 1_000_000;
/// Multiplier of the run's seed, which keeps the seeds of the routers' protocols of different runs apart.
const SEED_MULTIPLIER: u64 = 1_000_003;

/// Process of a router: the production protocol, full or reduced, or the baseline with fixed heartbeats.
pub(super) enum Process {
    Protocol(Box<MembershipProtocol>),
    FixedHeartbeat(FixedHeartbeat),
}

/// Parameters of the start of a process.
pub(super) struct ProcessStart {
    /// Seed of the run.
    pub seed: u64,
    /// Number of the router.
    pub router: u32,
    /// Number of routers.
    pub routers: u32,
    /// Number of earlier starts of this router.
    pub start_count: u64,
    /// Simulated time of the start.
    pub now: Nanos,
}

impl Process {
    /// Creates a process that runs a variant of the production protocol.
    pub fn protocol(variant: ProtocolVariant, start: &ProcessStart) -> Process {
        let settings = MembershipSettings {
            probe_period: PROBE_PERIOD,
            datagrams_per_s: DATAGRAMS_PER_S,
            max_datagram_bytes: MAX_DATAGRAM_BYTES,
            variant,
        };
        let started_ms = WALL_CLOCK_START_MS + start.now.0 / NANOS_PER_MILLISECOND;
        let seed =
            start.seed.wrapping_mul(SEED_MULTIPLIER) ^ u64::from(start.router) << 20 ^ start.start_count;
        let all = (0..start.routers).map(RouterId);
        let (local, name_hash) = (RouterId(start.router), start.router);
        let protocol = MembershipProtocol::new(seed, settings, local, name_hash, started_ms, all, start.now);
        Process::Protocol(Box::new(protocol))
    }

    /// Whether this process considers the given router failed or, after an announced shutdown, left.
    fn is_failed_or_left(&self, router: u32) -> bool {
        match self {
            Process::Protocol(protocol) => {
                let status = protocol.member(RouterId(router)).map(|member| member.state.status);
                matches!(status, Some(Status::Failed | Status::Left))
            }
            Process::FixedHeartbeat(heartbeat) => heartbeat.is_failed(router),
        }
    }

    fn max_failure_changes(&self) -> u32 {
        match self {
            Process::Protocol(protocol) => {
                protocol.members().map(|member| member.failure_changes).max().unwrap_or(0)
            }
            Process::FixedHeartbeat(heartbeat) => heartbeat.max_failure_changes(),
        }
    }

    fn next_wakeup(&self) -> Nanos {
        match self {
            Process::Protocol(protocol) => protocol.next_wakeup(),
            Process::FixedHeartbeat(heartbeat) => heartbeat.next_wakeup(),
        }
    }

    fn run_iteration(&mut self, now: Nanos, inbox: VecDeque<Input>) -> Vec<Output> {
        match self {
            Process::Protocol(protocol) => run_protocol_iteration(protocol, now, inbox),
            Process::FixedHeartbeat(heartbeat) => heartbeat.run_iteration(now, inbox),
        }
    }
}

fn run_protocol_iteration(
    protocol: &mut MembershipProtocol,
    now: Nanos,
    inbox: VecDeque<Input>,
) -> Vec<Output> {
    protocol.wake(now);
    for input in inbox {
        // The production router counts rejected datagrams; no figure of the experiment needs them.
        let _ = protocol.receive(now, Some(RouterId(input.from)), &input.bytes);
    }
    std::iter::from_fn(|| protocol.poll_action(now)).filter_map(to_output).collect()
}

fn to_output(action: Action) -> Option<Output> {
    match action {
        Action::Send { to, bytes } => Some(Output::Send { to: to.0, bytes }),
        Action::StatusChanged { member, from, to, .. } => Some(Output::FailureChanged {
            member: member.0,
            was_failed: from == ReportedStatus::Failed,
            is_failed: to == ReportedStatus::Failed,
        }),
        Action::DuplicateName { .. } | Action::Refuted { .. } => None,
    }
}

/// Counts of the datagrams that a router sent.
#[derive(Default)]
pub(super) struct Traffic {
    /// Total number of datagrams.
    pub datagrams: u64,
    /// Total number of bytes.
    pub bytes: u64,
    /// Maximum number of datagrams in one second.
    pub max_per_second: u64,
    current_second: u64,
    datagrams_in_current_second: u64,
}

impl Traffic {
    /// Counts a datagram of this size.
    pub fn add(&mut self, now: Nanos, bytes: usize) {
        let second = now.0 / NANOS_PER_SECOND;
        self.datagrams += 1;
        self.bytes += bytes as u64;
        self.datagrams_in_current_second =
            if second == self.current_second { self.datagrams_in_current_second + 1 } else { 1 };
        self.current_second = second;
        self.max_per_second = self.max_per_second.max(self.datagrams_in_current_second);
    }
}

/// Simulated router, with at most one process at a time.
pub(super) struct Host {
    process: Option<Process>,
    is_suspended: bool,
    inbox: VecDeque<Input>,
    /// Time of the next wake-up; wake-up events with another time are stale and ignored.
    pub wake_at: Nanos,
    /// Traffic that all processes of the router have sent.
    pub traffic: Traffic,
    /// Share of a cold node's budget that the router claims.
    pub budget: BudgetShare,
    start_count: u64,
}

impl Host {
    /// Creates a router without a process; `routers` is the number of all routers.
    pub fn new(routers: u32) -> Host {
        Host {
            process: None,
            is_suspended: false,
            inbox: VecDeque::new(),
            wake_at: Nanos(0),
            traffic: Traffic::default(),
            budget: BudgetShare::new(routers),
            start_count: 0,
        }
    }

    /// Whether there is a process, suspended or not.
    pub fn has_process(&self) -> bool {
        self.process.is_some()
    }

    /// Whether the process is suspended.
    pub fn is_suspended(&self) -> bool {
        self.is_suspended
    }

    /// Whether there is a process that is not suspended.
    pub fn is_active(&self) -> bool {
        self.has_process() && !self.is_suspended
    }

    /// Number of processes started so far.
    pub fn start_count(&self) -> u64 {
        self.start_count
    }

    /// Starts a process; `routers` is the number of all routers.
    pub fn start(&mut self, process: Process, routers: u32) {
        self.budget.process_started(routers, self.start_count > 0);
        self.start_count += 1;
        self.process = Some(process);
    }

    /// Kills the process without notice and discards its received datagrams.
    pub fn kill(&mut self) {
        self.process = None;
        self.inbox.clear();
    }

    /// Makes the process announce its shutdown; a process with fixed heartbeats announces nothing.
    pub fn leave(&mut self, now: Nanos) {
        if let Some(Process::Protocol(protocol)) = &mut self.process {
            protocol.leave(now);
        }
    }

    /// Suspends or resumes the process.
    pub fn set_suspended(&mut self, is_suspended: bool) {
        self.is_suspended = is_suspended;
    }

    /// Buffers a datagram for the next iteration of the process's event loop, or drops it if the buffer is full.
    pub fn deliver(&mut self, input: Input) {
        if self.inbox.len() < MAX_INBOX_DATAGRAMS {
            self.inbox.push_back(input);
        }
    }

    /// Runs one iteration of the process's event loop; returns `None` if no process is active.
    pub fn run_iteration(&mut self, now: Nanos) -> Option<Vec<Output>> {
        if self.is_suspended {
            return None;
        }
        let inbox = std::mem::take(&mut self.inbox);
        let process = self.process.as_mut()?;
        let outputs = process.run_iteration(now, inbox);
        if let Process::Protocol(protocol) = process {
            self.budget.set_live_routers(protocol.quota_sharers(now));
        }
        self.wake_at = process.next_wakeup();
        Some(outputs)
    }

    /// Whether the process considers the given router failed or left; false without a process.
    pub fn is_failed_or_left(&self, router: u32) -> bool {
        self.process.as_ref().is_some_and(|process| process.is_failed_or_left(router))
    }

    /// Returns the maximum number of changes of one other router's status to or from failed at this router.
    pub fn max_failure_changes(&self) -> u32 {
        self.process.as_ref().map_or(0, Process::max_failure_changes)
    }
}
