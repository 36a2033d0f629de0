//! Under random changes of the leader, freezes, lost answers and a faulty platform, the platform accepts one content a
//! window, sees no token of two holders and no return to a holder within the lease, and gets every window in the end.

mod common;

use common::{ms, report, settings, table, time_of_day};
use fernknot::interface::Nanos;
use fernknot_ownership::splitmix64;
use fernknot_usage::{UsageRecord, UsageTable};
use fernknot_usage_reporting::{Action, CallId, CallOutcome, LeaseState, UsageCall, UsageReporter};
use std::collections::BTreeMap;
use test_case::test_case;

const CONTROLLERS: usize = 3;
const STEP_MS: u64 = 50;
/// Time of faults, followed by time without any.
const FAULTY_STEPS: u64 = 4000;
const CALM_STEPS: u64 = 1200;
const NAMES: [&str; CONTROLLERS] = ["a", "b", "c"];

struct Random(u64);

impl Random {
    fn one_in(&mut self, chances: u64) -> bool {
        self.below(chances) == 0
    }

    fn below(&mut self, bound: u64) -> u64 {
        self.0 = splitmix64(self.0);
        (self.0 >> 16) % bound
    }
}

/// What the platform has seen, and the rules that hold for it.
#[derive(Default)]
struct Platform {
    accepted: BTreeMap<u64, Vec<u8>>,
    holder_of_token: BTreeMap<u64, String>,
    highest_token: u64,
    /// Holder and time of each accepted call.
    acts: Vec<(String, Nanos)>,
}

impl Platform {
    fn receive(&mut self, now: Nanos, call: &UsageCall) -> u16 {
        let holder = self.holder_of_token.entry(call.token.0).or_insert_with(|| call.holder.clone());
        assert_eq!(*holder, call.holder, "two holders of token {}", call.token.0);
        if call.token.0 < self.highest_token {
            return 409;
        }
        self.highest_token = call.token.0;
        let accepted = self.accepted.entry(call.window.0).or_insert_with(|| call.body.clone());
        assert_eq!(*accepted, call.body, "two contents of window {}", call.window.0);
        self.check_return(now, &call.holder);
        self.acts.push((call.holder.clone(), now));
        200
    }

    fn check_return(&self, now: Nanos, holder: &str) {
        let recent = self.acts.iter().rev().take_while(|(_, at)| now - *at < ms(3000));
        let recent: Vec<&String> = recent.map(|(holder, _)| holder).collect();
        let returns = recent.iter().position(|of| *of != holder);
        let returns = returns.is_some_and(|first| recent[first..].iter().any(|of| *of == holder));
        assert!(!returns, "{holder} acts again within the lease: {recent:?}");
    }
}

/// Connection of a controller to the platform.
#[derive(Clone)]
enum Connection {
    Opening(CallId),
    /// Request on its way, or answer if there is a status.
    Open(CallId, UsageCall, Option<u16>),
}

struct Controller {
    reporter: UsageReporter,
    table: UsageTable,
    connection: Option<Connection>,
    frozen_until: u64,
    knows_view: u64,
    restarts: u64,
}

impl Controller {
    fn start(id: usize, restarts: u64) -> Controller {
        let mut reporter = UsageReporter::new(settings(NAMES[id]), id as u64);
        reporter.time_known(time_of_day(0));
        Controller { reporter, table: table(), connection: None, frozen_until: 0, knows_view: 0, restarts }
    }
}

/// Consensus as the controllers see it: each change of the view or the record is known to all that run.
struct System {
    random: Random,
    step: u64,
    view: u64,
    leader: usize,
    record: Option<UsageRecord>,
    controllers: Vec<Controller>,
    platform: Platform,
    /// Requests of connections that were given up, which may still reach the platform.
    late: Vec<(u64, UsageCall)>,
}

impl System {
    fn new(seed: u64) -> System {
        System {
            random: Random(seed),
            step: 0,
            view: 1,
            leader: 0,
            record: None,
            controllers: (0..CONTROLLERS).map(|id| Controller::start(id, 0)).collect(),
            platform: Platform::default(),
            late: Vec::new(),
        }
    }

    fn now(&self) -> Nanos {
        ms((self.step + 1) * STEP_MS)
    }

    fn is_calm(&self) -> bool {
        self.step >= FAULTY_STEPS
    }

    fn lease(&self, id: usize) -> LeaseState {
        let is_leader = self.leader == id && self.controllers[id].knows_view == self.view;
        let view = Some(self.controllers[id].knows_view);
        LeaseState { view, is_leader, has_lease: is_leader, is_stopping: false }
    }

    fn inject_faults(&mut self) {
        if self.is_calm() {
            return;
        }
        if self.random.one_in(60) {
            self.view += 1 + self.random.below(2);
            self.leader = self.random.below(CONTROLLERS as u64) as usize;
        }
        let id = self.random.below(CONTROLLERS as u64) as usize;
        if self.random.one_in(80) {
            self.controllers[id].frozen_until = self.step + self.random.below(200);
        }
        if self.random.one_in(100) {
            let restarts = self.controllers[id].restarts + 1;
            self.abandon(id);
            self.controllers[id] = Controller::start(id, restarts);
        }
    }

    fn report_usage(&mut self) {
        let window = 1000 + self.step * STEP_MS / 5000;
        for id in 0..CONTROLLERS {
            // Ledgers may differ between controllers; what is fixed is what counts.
            if self.random.one_in(2) {
                let report = report(1, window, "milo40", self.step);
                let open = self.controllers[id].reporter.open_windows(time_of_day(self.step * STEP_MS));
                self.controllers[id].table.merge(&report, open);
            }
        }
    }

    fn run_controller(&mut self, id: usize) {
        let now = self.now();
        if self.controllers[id].frozen_until > self.step {
            return;
        }
        if self.controllers[id].knows_view != self.view {
            self.controllers[id].knows_view = self.view;
            self.controllers[id].reporter.view_activated(now, self.view, self.leader == id);
        }
        let record = self.record.clone();
        self.controllers[id].reporter.record_committed(record.as_ref());
        let lease = self.lease(id);
        let time = time_of_day(self.step * STEP_MS);
        let controller = &mut self.controllers[id];
        if let Some(record) = controller.reporter.next_record(lease, time, &controller.table) {
            // A commit may be delivered by the next view only.
            self.record = Some(record);
        }
        self.advance_connection(id);
        while let Some(action) = self.controllers[id].reporter.poll_action(now, lease) {
            match action {
                Action::StartCall(call) => {
                    self.controllers[id].connection = Some(Connection::Opening(call));
                }
                Action::AbortCall(_) => self.abandon(id),
            }
        }
    }

    fn advance_connection(&mut self, id: usize) {
        let (now, lease) = (self.now(), self.lease(id));
        let is_slow = !self.is_calm() && self.random.one_in(2);
        let is_lost = !self.is_calm() && self.random.one_in(6);
        let controller = &mut self.controllers[id];
        let Some(connection) = controller.connection.take() else { return };
        if is_slow {
            controller.connection = Some(connection);
            return;
        }
        match connection {
            Connection::Opening(call) => {
                let taken = controller.reporter.take_call(now, lease, call);
                controller.connection = taken.map(|content| Connection::Open(call, content, None));
            }
            Connection::Open(call, content, None) => {
                let status = match self.is_calm() || !self.random.one_in(4) {
                    true => self.platform.receive(now, &content),
                    false => 429 + 74 * self.random.below(2) as u16,
                };
                self.controllers[id].connection = Some(Connection::Open(call, content, Some(status)));
            }
            Connection::Open(call, _, Some(status)) => {
                let outcome = if is_lost { CallOutcome::Unclear } else { CallOutcome::Answered(status) };
                controller.reporter.call_finished(now, call, outcome);
            }
        }
    }

    /// Drops the connection of a controller; a request on its way may still arrive.
    fn abandon(&mut self, id: usize) {
        if let Some(Connection::Open(_, content, None)) = self.controllers[id].connection.take()
            && !self.is_calm()
        {
            self.late.push((self.step + 1, content));
        }
    }

    fn deliver_late_calls(&mut self) {
        let (step, now) = (self.step, self.now());
        let due: Vec<(u64, UsageCall)> = self.late.extract_if(.., |(at, _)| *at <= step).collect();
        due.iter().for_each(|(_, call)| _ = self.platform.receive(now, call));
    }

    fn run(&mut self) {
        while self.step < FAULTY_STEPS + CALM_STEPS {
            self.inject_faults();
            self.report_usage();
            self.deliver_late_calls();
            (0..CONTROLLERS).for_each(|id| self.run_controller(id));
            self.step += 1;
        }
    }
}

#[test_case(0..100)]
#[test_case(100..200)]
fn given_random_faults_when_they_are_over_then_the_platform_has_one_content_of_every_window(
    seeds: std::ops::Range<u64>,
) {
    for seed in seeds {
        let mut system = System::new(seed * 7919 + 1);
        system.run();
        let reported: Vec<u64> = system.platform.accepted.keys().copied().collect();
        let last = system.record.as_ref().unwrap().next_window().0;
        assert_eq!(reported, (1000..last).collect::<Vec<_>>(), "seed {seed}");
        assert_eq!(last, 1000 + ((FAULTY_STEPS + CALM_STEPS - 1) * STEP_MS - 3000) / 5000, "seed {seed}");
    }
}
