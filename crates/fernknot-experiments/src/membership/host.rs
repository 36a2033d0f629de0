//! One router of the simulation: its process, its socket and what it sent.

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
/// The socket of a suspended process keeps so many datagrams.
const MAX_INBOX: usize = 256;
const NANOS_PER_SECOND: u64 = 1_000_000_000;
const NANOS_PER_MILLISECOND: u64 = 1_000_000;
/// The wall clock at the start of the simulation, in milliseconds.
const WALL_CLOCK_START_MS: u64 = 1_000_000;
/// Spreads the seeds of runs.
const SEED_MULTIPLIER: u64 = 1_000_003;

/// A router's process, by variant.
pub(super) enum Process {
    Protocol(Box<MembershipProtocol>),
    FixedHeartbeat(FixedHeartbeat),
}

/// What a process is started with.
pub(super) struct ProcessStart {
    /// The seed of the run.
    pub seed: u64,
    /// The router's number.
    pub router: u32,
    /// How many routers there are.
    pub routers: u32,
    /// How often this router was started before.
    pub starts: u64,
    /// The time of the start.
    pub now: Nanos,
}

impl Process {
    /// The protocol of the router, or that with SWIM's parts alone.
    pub fn protocol(variant: ProtocolVariant, start: &ProcessStart) -> Process {
        let settings = MembershipSettings {
            probe_period: PROBE_PERIOD,
            datagrams_per_s: DATAGRAMS_PER_S,
            max_datagram_bytes: MAX_DATAGRAM_BYTES,
            variant,
        };
        let started_ms = WALL_CLOCK_START_MS + start.now.0 / NANOS_PER_MILLISECOND;
        let seed = start.seed.wrapping_mul(SEED_MULTIPLIER) ^ u64::from(start.router) << 20 ^ start.starts;
        let all = (0..start.routers).map(RouterId);
        let (local, name_hash) = (RouterId(start.router), start.router);
        let protocol = MembershipProtocol::new(seed, settings, local, name_hash, started_ms, all, start.now);
        Process::Protocol(Box::new(protocol))
    }

    /// Whether this process takes the router for failed or gone.
    fn is_gone(&self, router: u32) -> bool {
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

    fn turn(&mut self, now: Nanos, inbox: VecDeque<Input>) -> Vec<Output> {
        match self {
            Process::Protocol(protocol) => turn_protocol(protocol, now, inbox),
            Process::FixedHeartbeat(heartbeat) => heartbeat.turn(now, inbox),
        }
    }
}

fn turn_protocol(protocol: &mut MembershipProtocol, now: Nanos, inbox: VecDeque<Input>) -> Vec<Output> {
    protocol.wake(now);
    for input in inbox {
        // The router counts rejected datagrams; here they are of no interest.
        let _ = protocol.receive(now, Some(RouterId(input.from)), &input.bytes);
    }
    std::iter::from_fn(|| protocol.poll_action(now)).filter_map(output).collect()
}

fn output(action: Action) -> Option<Output> {
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

/// What a host sent.
#[derive(Default)]
pub(super) struct Traffic {
    /// Datagrams in all.
    pub datagrams: u64,
    /// Bytes in all.
    pub bytes: u64,
    /// Datagrams in the second that was the worst so far.
    pub max_per_second: u64,
    current_second: u64,
    in_current_second: u64,
}

impl Traffic {
    /// Counts a datagram.
    pub fn add(&mut self, now: Nanos, bytes: usize) {
        let second = now.0 / NANOS_PER_SECOND;
        self.datagrams += 1;
        self.bytes += bytes as u64;
        self.in_current_second = if second == self.current_second { self.in_current_second + 1 } else { 1 };
        self.current_second = second;
        self.max_per_second = self.max_per_second.max(self.in_current_second);
    }
}

/// One router.
pub(super) struct Host {
    process: Option<Process>,
    is_suspended: bool,
    inbox: VecDeque<Input>,
    /// The wake-up that counts; earlier ones are passed over.
    pub wake_at: Nanos,
    /// What it sent.
    pub traffic: Traffic,
    /// Its part of a cold node's budget.
    pub budget: BudgetShare,
    starts: u64,
}

impl Host {
    /// A router without a process.
    pub fn new(routers: u32) -> Host {
        Host {
            process: None,
            is_suspended: false,
            inbox: VecDeque::new(),
            wake_at: Nanos(0),
            traffic: Traffic::default(),
            budget: BudgetShare::new(routers),
            starts: 0,
        }
    }

    /// Whether there is a process, suspended or not.
    pub fn has_process(&self) -> bool {
        self.process.is_some()
    }

    /// Whether its process stands still.
    pub fn is_suspended(&self) -> bool {
        self.is_suspended
    }

    /// Whether there is a process that is not suspended.
    pub fn is_active(&self) -> bool {
        self.has_process() && !self.is_suspended
    }

    /// How often a process was started.
    pub fn starts(&self) -> u64 {
        self.starts
    }

    /// Starts a process.
    pub fn start(&mut self, process: Process, routers: u32) {
        self.budget.process_started(routers, self.starts > 0);
        self.starts += 1;
        self.process = Some(process);
    }

    /// The process is gone at once, with what waits for it.
    pub fn kill(&mut self) {
        self.process = None;
        self.inbox.clear();
    }

    /// The process announces that it leaves.
    pub fn leave(&mut self, now: Nanos) {
        if let Some(Process::Protocol(protocol)) = &mut self.process {
            protocol.leave(now);
        }
    }

    /// The process stands still, or runs on.
    pub fn set_suspended(&mut self, is_suspended: bool) {
        self.is_suspended = is_suspended;
    }

    /// Keeps a datagram for the next turn, if there is room.
    pub fn deliver(&mut self, input: Input) {
        if self.inbox.len() < MAX_INBOX {
            self.inbox.push_back(input);
        }
    }

    /// One turn of the process's event loop; `None` if no process is active.
    pub fn turn(&mut self, now: Nanos) -> Option<Vec<Output>> {
        if self.is_suspended {
            return None;
        }
        let inbox = std::mem::take(&mut self.inbox);
        let process = self.process.as_mut()?;
        let outputs = process.turn(now, inbox);
        if let Process::Protocol(protocol) = process {
            self.budget.set_sharers(protocol.quota_sharers(now));
        }
        self.wake_at = process.next_wakeup();
        Some(outputs)
    }

    /// Whether the process takes the router for failed or gone.
    pub fn is_gone(&self, router: u32) -> bool {
        self.process.as_ref().is_some_and(|process| process.is_gone(router))
    }

    /// The most often that one router counted as failed or came back here.
    pub fn max_failure_changes(&self) -> u32 {
        self.process.as_ref().map_or(0, Process::max_failure_changes)
    }
}
