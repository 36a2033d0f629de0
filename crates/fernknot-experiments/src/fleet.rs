//! Membership among query routers in simulated time: the code that the router runs, on a network that loses,
//! cuts and stops.

use crate::lanes;
use crate::report::rounded;
use fernknot::interface::Nanos;
use fernknot_membership::{
    Action, MembershipProtocol, MembershipSettings, ReportedStatus, RouterId, Status, Variant,
};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, VecDeque};

pub const VARIANTS: [&str; 3] = ["fleet", "plain", "fixed"];
pub const SCENARIOS: [&str; 8] = ["crash", "pause", "loss20", "one-way", "ring", "split", "herd", "roll"];

const MS: u64 = 1_000_000;
const PERIOD: Nanos = Nanos(400 * MS);
const DATAGRAMS_PER_S: f64 = 16.0;
/// The heartbeats of `fixed`, and its time-out.
const BEAT: Nanos = Nanos(1000 * MS);
const FIXED_OUT: Nanos = Nanos(3000 * MS);
const FAULT_AT: Nanos = Nanos(15_000 * MS);
const FAULT_FOR: Nanos = Nanos(10_000 * MS);
const AFTER: Nanos = Nanos(15_000 * MS);
/// A stopped process's socket keeps so many datagrams.
const INBOX: usize = 256;
/// What warm nodes answer to a router is measured anew every two seconds, with this weight, as the module does.
const MEASURED: Nanos = Nanos(2000 * MS);
const MEASURED_GAIN: f64 = 0.2;

#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Row {
    pub experiment: &'static str,
    pub variant: &'static str,
    pub seed: u64,
    pub scenario: &'static str,
    pub routers: u32,
    /// Verdicts `lost` on a router that ran and could be heard by someone who could be heard.
    pub false_lost: u64,
    /// From the end of a process until each living router holds it for lost; -1 where there was none.
    pub detect_p50_ms: f64,
    pub detect_p99_ms: f64,
    /// Pairs of a living router and a dead one that it did not hold for lost in the end.
    pub undetected: u64,
    /// From the fault's end until each router that was held for lost, and runs, is held to be alive again.
    pub rejoin_p99_ms: f64,
    /// Pairs that were not so at the end.
    pub unjoined: u64,
    /// The most that verdicts of one router on another came and went.
    pub verdict_changes: u32,
    /// Of one router, in the mean, and in the worst second of any.
    pub datagrams_per_s: f64,
    pub datagrams_most_per_s: u64,
    pub bytes_per_s: f64,
    /// By how much the parts of a cold node's budget that all routers take together went past the whole.
    pub cold_overload_share: f64,
}

/// Heartbeats to all with one time-out: the simplest that could work.
struct Fixed {
    heard: BTreeMap<u32, Nanos>,
    lost: BTreeMap<u32, bool>,
    changes: BTreeMap<u32, u32>,
    next: Nanos,
}

enum Process {
    Fleet(Box<MembershipProtocol>),
    Fixed(Fixed),
}

struct Host {
    process: Option<Process>,
    paused: bool,
    inbox: VecDeque<(u32, Vec<u8>)>,
    /// The wake-up that counts; earlier ones are passed over.
    wake: Nanos,
    sent: u64,
    bytes: u64,
    second: (u64, u64),
    most_second: u64,
    /// Loses all it sends until then.
    burst_until: Nanos,
    share: f64,
    sharers: f64,
    starts: u64,
}

#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Fault {
    Kill(u32),
    Leave(u32),
    Start(u32),
    Stop(u32),
    Wake(u32),
    Begin,
    End,
    Burst,
    Measure,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Deliver { from: u32, to: u32, bytes: Vec<u8> },
    Turn(u32),
    Fault(Fault),
}

struct Net {
    variant: &'static str,
    scenario: &'static str,
    seed: u64,
    now: Nanos,
    hosts: Vec<Host>,
    queue: BinaryHeap<Reverse<(Nanos, u64, Event)>>,
    count: u64,
    chance: ChaCha8Rng,
    faulty: bool,
    fault_end: Nanos,
    one_way: BTreeMap<(u32, u32), ()>,
    died: BTreeMap<u32, Nanos>,
    detected: Vec<u64>,
    rejoined: Vec<u64>,
    held_lost: BTreeMap<(u32, u32), ()>,
    false_lost: u64,
    overload: f64,
}

/// Plays one scenario.
pub fn play(variant: &'static str, scenario: &'static str, routers: u32, seed: u64) -> Row {
    let mut net = Net::new(variant, scenario, routers, seed);
    net.plan();
    net.run(FAULT_AT + FAULT_FOR + AFTER);
    net.row()
}

impl Net {
    fn new(variant: &'static str, scenario: &'static str, routers: u32, seed: u64) -> Net {
        let host = |_| Host {
            process: None,
            paused: false,
            inbox: VecDeque::new(),
            wake: Nanos(0),
            sent: 0,
            bytes: 0,
            second: (0, 0),
            most_second: 0,
            burst_until: Nanos(0),
            share: 1.0 / f64::from(routers),
            sharers: f64::from(routers),
            starts: 0,
        };
        let mut net = Net {
            variant,
            scenario,
            seed,
            now: Nanos(0),
            hosts: (0..routers).map(host).collect(),
            queue: BinaryHeap::new(),
            count: 0,
            chance: ChaCha8Rng::seed_from_u64(seed),
            faulty: false,
            fault_end: Nanos(u64::MAX),
            one_way: BTreeMap::new(),
            died: BTreeMap::new(),
            detected: Vec::new(),
            rejoined: Vec::new(),
            held_lost: BTreeMap::new(),
            false_lost: 0,
            overload: 0.0,
        };
        for id in 0..routers {
            // Together, within the time that a process needs to start.
            let at = Nanos(net.chance.random_range(0..500 * MS));
            net.at(at, Event::Fault(Fault::Start(id)));
        }
        net
    }

    fn routers(&self) -> u32 {
        self.hosts.len() as u32
    }

    fn at(&mut self, at: Nanos, event: Event) {
        self.count += 1;
        self.queue.push(Reverse((at, self.count, event)));
    }

    fn some(&mut self, count: u32) -> Vec<u32> {
        let all = self.routers() as usize;
        let mut some: Vec<u32> = rand::seq::index::sample(&mut self.chance, all, (count as usize).min(all))
            .iter()
            .map(|id| id as u32)
            .collect();
        some.sort_unstable();
        some
    }

    /// The scenario as faults with their times.
    fn plan(&mut self) {
        let routers = self.routers();
        let tenth = (routers / 10).max(1);
        let fault = |fault| Event::Fault(fault);
        self.at(MEASURED, fault(Fault::Measure));
        match self.scenario {
            "crash" => {
                for (step, id) in self.some(if routers > 10 { 5 } else { 1 }).into_iter().enumerate() {
                    self.at(FAULT_AT + Nanos(step as u64 * 1500 * MS), fault(Fault::Kill(id)));
                }
            }
            "pause" => {
                for id in self.some(tenth) {
                    self.at(FAULT_AT, fault(Fault::Stop(id)));
                    self.at(FAULT_AT + Nanos(2000 * MS), fault(Fault::Wake(id)));
                }
                self.fault_end = FAULT_AT + Nanos(2000 * MS);
            }
            "herd" => {
                for id in self.some(routers * 7 / 10) {
                    self.at(FAULT_AT, fault(Fault::Kill(id)));
                    let back = FAULT_AT + FAULT_FOR + Nanos(self.chance.random_range(0..2000 * MS));
                    self.at(back, fault(Fault::Start(id)));
                }
                self.fault_end = FAULT_AT + FAULT_FOR;
            }
            "roll" => {
                let order = rand::seq::index::sample(&mut self.chance, routers as usize, routers as usize);
                for (index, id) in order.iter().enumerate() {
                    let step = Nanos((index as u64 / u64::from(tenth)) * 1000 * MS);
                    self.at(FAULT_AT + step, fault(Fault::Leave(id as u32)));
                    self.at(FAULT_AT + step + Nanos(400 * MS), fault(Fault::Kill(id as u32)));
                    self.at(FAULT_AT + step + Nanos(1400 * MS), fault(Fault::Start(id as u32)));
                }
                self.fault_end = FAULT_AT + FAULT_FOR;
            }
            _ => {
                if self.scenario == "one-way" {
                    // Each router is not heard by one other, and a tenth of these pairs not either way.
                    for from in 0..routers {
                        let to = (from + self.chance.random_range(1..routers)) % routers;
                        self.one_way.insert((from, to), ());
                        if self.chance.random_bool(0.1) {
                            self.one_way.insert((to, from), ());
                        }
                    }
                }
                self.at(FAULT_AT, fault(Fault::Begin));
                self.at(FAULT_AT + FAULT_FOR, fault(Fault::End));
                self.fault_end = FAULT_AT + FAULT_FOR;
            }
        }
    }

    fn run(&mut self, until: Nanos) {
        while let Some(Reverse((at, _, event))) = self.queue.pop() {
            if at > until {
                break;
            }
            self.now = at;
            match event {
                Event::Deliver { from, to, bytes } => self.deliver(from, to, bytes),
                Event::Turn(id) if self.hosts[id as usize].wake == at => self.turn(id),
                Event::Turn(_) => {}
                Event::Fault(fault) => self.fault(fault),
            }
        }
        self.now = until;
    }

    fn fault(&mut self, fault: Fault) {
        match fault {
            Fault::Kill(id) => {
                let host = &mut self.hosts[id as usize];
                host.process = None;
                host.inbox.clear();
                self.died.insert(id, self.now);
                self.held_lost.retain(|(by, _), ()| *by != id);
            }
            Fault::Leave(id) => {
                if let Some(Process::Fleet(fleet)) = &mut self.hosts[id as usize].process {
                    fleet.leave(self.now);
                }
                self.turn(id);
            }
            Fault::Start(id) => {
                let process = self.start(id);
                let routers = f64::from(self.routers());
                let host = &mut self.hosts[id as usize];
                host.share = if host.starts > 0 { 0.0 } else { host.share };
                host.sharers = routers;
                host.starts += 1;
                host.process = Some(process);
                self.died.remove(&id);
                self.turn(id);
            }
            Fault::Stop(id) => self.hosts[id as usize].paused = true,
            Fault::Wake(id) => {
                self.hosts[id as usize].paused = false;
                self.turn(id);
            }
            Fault::Begin => {
                self.faulty = true;
                if self.scenario == "loss20" {
                    self.at(self.now, Event::Fault(Fault::Burst));
                }
            }
            Fault::End => self.faulty = false,
            Fault::Burst => {
                // A twentieth of the routers at any time sends into the void for a second.
                for id in self.some((self.routers() / 20).max(1)) {
                    self.hosts[id as usize].burst_until = self.now + Nanos(1000 * MS);
                }
                if self.faulty {
                    self.at(self.now + Nanos(1000 * MS), Event::Fault(Fault::Burst));
                }
            }
            Fault::Measure => self.measure(),
        }
    }

    fn start(&mut self, id: u32) -> Process {
        let routers = self.routers();
        let variant = match self.variant {
            "fixed" => {
                let next = self.now + BEAT.times(self.chance.random());
                let fixed =
                    Fixed { heard: BTreeMap::new(), lost: BTreeMap::new(), changes: BTreeMap::new(), next };
                return Process::Fixed(fixed);
            }
            "plain" => Variant::PlainSwim,
            _ => Variant::Full,
        };
        let facts = MembershipSettings {
            probe_period: PERIOD,
            datagrams_per_s: DATAGRAMS_PER_S,
            max_datagram_bytes: 256,
            variant,
        };
        let started = 1_000_000 + self.now.0 / MS;
        let others = (0..routers).map(RouterId);
        let seed = self.seed.wrapping_mul(1_000_003) ^ u64::from(id) << 20 ^ self.hosts[id as usize].starts;
        Process::Fleet(Box::new(MembershipProtocol::new(
            seed,
            facts,
            RouterId(id),
            id,
            started,
            others,
            self.now,
        )))
    }

    /// Whether a datagram gets through the network as it is now.
    fn passes(&mut self, from: u32, to: u32) -> bool {
        if !self.faulty {
            return true;
        }
        match self.scenario {
            "loss20" => self.hosts[from as usize].burst_until <= self.now && !self.chance.random_bool(0.2),
            _ => self.hears(to, from),
        }
    }

    /// Whether the cuts of the scenario leave one router within another's hearing.
    fn hears(&self, who: u32, whom: u32) -> bool {
        let routers = self.routers();
        match self.scenario {
            _ if !self.faulty => true,
            "one-way" => !self.one_way.contains_key(&(whom, who)),
            "ring" => who == (whom + 1) % routers,
            "split" => (who < routers * 2 / 5) == (whom < routers * 2 / 5),
            _ => true,
        }
    }

    fn deliver(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let host = &mut self.hosts[to as usize];
        if host.process.is_none() {
            return;
        }
        if host.inbox.len() < INBOX {
            host.inbox.push_back((from, bytes));
        }
        if !host.paused {
            self.turn(to);
        }
    }

    fn send(&mut self, from: u32, to: u32, bytes: Vec<u8>) {
        let second = self.now.0 / 1_000_000_000;
        let host = &mut self.hosts[from as usize];
        host.sent += 1;
        host.bytes += bytes.len() as u64;
        host.second = if host.second.0 == second { (second, host.second.1 + 1) } else { (second, 1) };
        host.most_second = host.most_second.max(host.second.1);
        if self.passes(from, to) {
            let delay = Nanos(self.chance.random_range(200_000..2 * MS));
            self.at(self.now + delay, Event::Deliver { from, to, bytes });
        }
    }

    /// One turn of a router's loop.
    fn turn(&mut self, id: u32) {
        let now = self.now;
        let host = &mut self.hosts[id as usize];
        if host.paused {
            return;
        }
        let inbox = std::mem::take(&mut host.inbox);
        let Some(mut process) = host.process.take() else { return };
        let wake = match &mut process {
            Process::Fleet(fleet) => {
                fleet.wake(now);
                for (from, bytes) in inbox {
                    // What is refused is counted by the host that has counters.
                    let _ = fleet.receive(now, Some(RouterId(from)), &bytes);
                }
                while let Some(action) = fleet.poll_action(now) {
                    match action {
                        Action::Send { to, bytes } => self.send(id, to.0, bytes),
                        Action::StatusChanged { member, from, to, .. } => self.judged(
                            id,
                            member.0,
                            from == ReportedStatus::Failed,
                            to == ReportedStatus::Failed,
                        ),
                        Action::DuplicateName { .. } | Action::Refuted { .. } => {}
                    }
                }
                let sharers = fleet.quota_sharers(now) as f64;
                let host = &mut self.hosts[id as usize];
                // More routers than were measured among: each takes less at once.
                if sharers > host.sharers {
                    host.share *= host.sharers / sharers;
                }
                host.sharers = sharers;
                fleet.next_wakeup()
            }
            Process::Fixed(fixed) => {
                for (from, _) in inbox {
                    fixed.heard.insert(from, now);
                    if fixed.lost.insert(from, false) == Some(true) {
                        *fixed.changes.entry(from).or_insert(0) += 1;
                        self.judged(id, from, true, false);
                    }
                }
                let late: Vec<u32> = fixed
                    .heard
                    .iter()
                    .filter(|(of, at)| **at + FIXED_OUT <= now && fixed.lost.get(of) != Some(&true))
                    .map(|(of, _)| *of)
                    .collect();
                for of in late {
                    fixed.lost.insert(of, true);
                    *fixed.changes.entry(of).or_insert(0) += 1;
                    self.judged(id, of, false, true);
                }
                if now >= fixed.next {
                    fixed.next = now + BEAT;
                    (0..self.routers()).filter(|to| *to != id).for_each(|to| self.send(id, to, vec![0; 16]));
                }
                fixed.next
            }
        };
        let host = &mut self.hosts[id as usize];
        host.process = Some(process);
        host.wake = wake;
        self.at(wake, Event::Turn(id));
    }

    /// A router's verdict on another changed.
    fn judged(&mut self, by: u32, of: u32, was_lost: bool, lost: bool) {
        if lost {
            self.held_lost.insert((by, of), ());
            match self.died.get(&of) {
                Some(at) => self.detected.push((self.now - *at).0),
                // A process that stands still cannot be heard; neither can one beyond the cut.
                None if self.hears(by, of) || self.scenario == "ring" || self.scenario == "one-way" => {
                    self.false_lost += u64::from(!self.hosts[of as usize].paused);
                }
                None => {}
            }
        } else if was_lost {
            self.held_lost.remove(&(by, of));
            let from = self.fault_end;
            if self.now >= from {
                self.rejoined.push((self.now - from).0);
            }
        }
    }

    /// What routers take of a cold node's budget: by what warm ones answered to each lately.
    fn measure(&mut self) {
        let up =
            self.hosts.iter().filter(|host| host.process.is_some() && !host.paused).count().max(1) as f64;
        let all: f64 = self.hosts.iter().filter(|host| host.process.is_some()).map(|host| host.share).sum();
        if self.now >= FAULT_AT {
            self.overload = self.overload.max(all - 1.0);
        }
        for host in self.hosts.iter_mut().filter(|host| host.process.is_some() && !host.paused) {
            let present = 1.0 / up;
            host.share += (present - host.share) * if host.share > 0.0 { MEASURED_GAIN } else { 1.0 };
        }
        self.at(self.now + MEASURED, Event::Fault(Fault::Measure));
    }

    fn row(&mut self) -> Row {
        let routers = self.routers();
        let runs: Vec<u32> = (0..routers).filter(|id| self.hosts[*id as usize].process.is_some()).collect();
        let lost = |by: u32, of: u32| match self.hosts[by as usize].process.as_ref() {
            Some(Process::Fleet(fleet)) => {
                let verdict = fleet.member(RouterId(of)).map(|member| member.state.status);
                matches!(verdict, Some(Status::Failed | Status::Left))
            }
            Some(Process::Fixed(fixed)) => fixed.lost.get(&of) == Some(&true),
            None => false,
        };
        let dead: Vec<u32> = self.died.keys().copied().collect();
        let pairs = |of: &[u32], is: bool| {
            let by = |by: &u32| of.iter().filter(|of| *of != by && lost(*by, **of) == is).count() as u64;
            runs.iter().map(by).sum::<u64>()
        };
        let (undetected, unjoined) = (pairs(&dead, false), pairs(&runs, true));
        let changes = |host: &Host| match &host.process {
            Some(Process::Fleet(fleet)) => {
                fleet.members().map(|member| member.failure_changes).max().unwrap_or(0)
            }
            Some(Process::Fixed(fixed)) => fixed.changes.values().copied().max().unwrap_or(0),
            None => 0,
        };
        let verdict_changes = self.hosts.iter().map(changes).max().unwrap_or(0);
        let share = |values: &mut Vec<u64>, share: f64| {
            values.sort_unstable();
            let index = ((values.len() as f64 * share).ceil() as usize).clamp(1, values.len().max(1)) - 1;
            values.get(index).map_or(-1.0, |value| rounded(*value as f64 / 1e6, 1))
        };
        let seconds = self.now.0 as f64 / 1e9 * f64::from(routers);
        let sum = |of: fn(&Host) -> u64| self.hosts.iter().map(of).sum::<u64>() as f64;
        Row {
            experiment: "fleet",
            variant: self.variant,
            seed: self.seed,
            scenario: self.scenario,
            routers,
            false_lost: self.false_lost,
            detect_p50_ms: share(&mut self.detected, 0.5),
            detect_p99_ms: share(&mut self.detected, 0.99),
            undetected,
            rejoin_p99_ms: share(&mut self.rejoined, 0.99),
            unjoined,
            verdict_changes,
            datagrams_per_s: rounded(sum(|host| host.sent) / seconds, 2),
            datagrams_most_per_s: self.hosts.iter().map(|host| host.most_second).max().unwrap_or(0),
            bytes_per_s: rounded(sum(|host| host.bytes) / seconds, 0),
            cold_overload_share: rounded(self.overload.max(0.0), 3),
        }
    }
}

/// All scenarios of all variants at this size, on these seeds.
pub fn results(
    seeds: std::ops::Range<u64>,
    routers: u32,
    only: Option<&str>,
    only_variant: Option<&str>,
) -> Vec<Row> {
    let mut plays = Vec::new();
    for scenario in SCENARIOS.into_iter().filter(|name| only.is_none_or(|only| only == *name)) {
        // Heartbeats among thousands are millions a second.
        for variant in VARIANTS.into_iter().filter(|name| *name != "fixed" || routers <= 300) {
            if only_variant.is_some_and(|only| only != variant) {
                continue;
            }
            plays.extend(seeds.clone().map(|seed| (variant, scenario, seed)));
        }
    }
    lanes::over(&plays, |(variant, scenario, seed)| play(variant, scenario, routers, *seed))
}
