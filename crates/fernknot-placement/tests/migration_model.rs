//! Model of range migrations, checked over all orders of events: stores (nodes) release and take over keys in either
//! order, routers have maps of different ages, and messages are lost, delayed and reordered. Map and route are the
//! production code; modelled are the stores, the network and the router's handling of queries.

use fernknot::interface::{Nanos, NodeId};
use fernknot_placement::{
    Coverage, Epoch, ForwardTarget, KeyRange, NextHop, Owners, OwnershipChange, PartRoute, PlacementMap,
    Source, check_coverage,
};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const KEYS: usize = 2;
const MAX_HOPS: u32 = 3;

const NEVER_EXECUTED_TWICE: &str = "no effect is executed twice";
const COMPLETE_ONLY_IF_ANSWERED_ONCE: &str =
    "a query is complete only if every key was answered exactly once";
const REJECTED_ONLY_IF_NOT_EXECUTED: &str = "a query is rejected only if none of it was executed";
const EVERY_QUERY_ENDS: &str = "every query ends";

/// Ownership of one key as known to a store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum KeyOwnership {
    NeverOwned,
    Owned {
        epoch: u64,
    },
    /// Released to another store at this epoch.
    GivenUp {
        epoch: u64,
        owner: u32,
    },
}

/// Ownership of one key as reported by a store.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct KeyReport {
    key: u64,
    epoch: u64,
    owner: Option<u32>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
enum Message {
    Request { router: usize, part: usize, range: KeyRange, to: u32 },
    Answer { router: usize, part: usize },
    Redirect { router: usize, part: usize, by: u32, reports: Vec<KeyReport> },
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
enum QueryEnd {
    Complete,
    /// Rejected: no store executed any of the query.
    Rejected,
    /// Failed: some store may have executed a part.
    Failed,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Part {
    route: PartRoute,
    in_flight: bool,
    answered: bool,
    /// Replaced by parts for subranges.
    split: bool,
}

impl Part {
    fn new(route: PartRoute, in_flight: bool) -> Part {
        Part { route, in_flight, answered: false, split: false }
    }
}

/// Router with one query for all keys.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Router {
    map: PlacementMap,
    parts: Vec<Part>,
    end: Option<QueryEnd>,
}

impl Router {
    fn answered_ranges(&self) -> Vec<KeyRange> {
        self.parts.iter().filter(|part| part.answered).map(|part| part.route.range()).collect()
    }

    /// Whether an answer to this part, or a redirect of it, still changes the query.
    fn awaits(&self, part: usize) -> bool {
        self.end.is_none() && self.parts[part].in_flight
    }
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct Migration {
    range: KeyRange,
    to: u32,
    epoch: u64,
    released: bool,
    started: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    stores: Vec<[KeyOwnership; KEYS]>,
    migration: Option<Migration>,
    /// Range, target and epoch of the last complete migration, which the endpoint list may report.
    completed: Option<(KeyRange, u32, u64)>,
    epoch: u64,
    migrations_left: u32,
    losses_left: u32,
    /// Number of retries left for parts that may have been executed; 0 unless the bug `RetryAfterTimeout` is seeded.
    retries_left: u32,
    routers: Vec<Router>,
    messages_in_flight: BTreeSet<Message>,
    /// Number of times that the query of each router was executed for each key.
    executions: Vec<[u8; KEYS]>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    BeginMigration(KeyRange, u32),
    /// The old owners release the keys.
    Release,
    /// The new owner takes over the keys.
    Start,
    ReportByList(usize),
    Deliver(Message),
    Lose(Message),
    TimeOut(usize, usize),
}

/// Bugs that the model is given on purpose, to show that the check finds them.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SeededBug {
    None,
    /// Parts that may have been executed are retried.
    RetryAfterTimeout,
    /// A query counts as complete with the first answered part.
    CompleteTooEarly,
}

/// Model of migrations, with the bounds of its state space.
struct MigrationModel {
    stores: u32,
    migrations: u32,
    losses: u32,
    /// Owner of all keys in each router's initial map, if any.
    initial_owners: Vec<Option<u32>>,
    bug: SeededBug,
}

fn all_keys() -> KeyRange {
    KeyRange { first: 0, last: KEYS as u64 - 1 }
}

fn one_key(key: u64) -> KeyRange {
    KeyRange { first: key, last: key }
}

fn change(range: KeyRange, epoch: u64, owner: Option<u32>) -> OwnershipChange {
    OwnershipChange { range, epoch: Epoch(epoch), owners: Owners::new(owner.map(NodeId)), migration: None }
}

impl World {
    /// Sends a part to the first of its candidates, as several parts if its keys have been split.
    fn forward(&mut self, router: usize, part: usize, hop: NextHop) {
        match hop {
            NextHop::NoOwner | NextHop::HopLimit => self.reject(router, part),
            NextHop::Forward(targets) if targets.len() == 1 => {
                self.routers[router].parts[part].in_flight = true;
                self.request(router, part, &targets[0]);
            }
            NextHop::Forward(targets) => self.split(router, part, &targets),
        }
    }

    fn request(&mut self, router: usize, part: usize, target: &ForwardTarget) {
        let (range, to) = (target.range, target.nodes[0].0);
        self.messages_in_flight.insert(Message::Request { router, part, range, to });
    }

    fn reject(&mut self, router: usize, part: usize) {
        let router = &mut self.routers[router];
        router.parts[part].in_flight = false;
        // Other parts may be in flight and may have been executed.
        let may_have_run = router.parts.iter().any(|part| part.in_flight || part.answered);
        let end = if may_have_run { QueryEnd::Failed } else { QueryEnd::Rejected };
        router.end.get_or_insert(end);
    }

    fn split(&mut self, router: usize, part: usize, targets: &[ForwardTarget]) {
        let split = &mut self.routers[router].parts[part];
        let route = split.route.clone();
        (split.in_flight, split.split) = (false, true);
        for target in targets {
            let index = self.routers[router].parts.len();
            self.routers[router].parts.push(Part::new(route.split_off(target.range), true));
            self.request(router, index, target);
        }
    }

    /// Executes a part at a store that owns all of its keys; otherwise the store redirects it.
    fn serve(&mut self, router: usize, part: usize, range: KeyRange, store: u32) {
        let keys = range.first..=range.last;
        let ownership = |key: u64| self.stores[store as usize][key as usize];
        let owns = |key: u64| matches!(ownership(key), KeyOwnership::Owned { .. });
        if keys.clone().all(owns) {
            keys.for_each(|key| self.executions[router][key as usize] += 1);
            self.messages_in_flight.insert(Message::Answer { router, part });
            return;
        }
        let report = |key| match ownership(key) {
            KeyOwnership::NeverOwned => KeyReport { key, epoch: 0, owner: None },
            KeyOwnership::Owned { epoch } => KeyReport { key, epoch, owner: Some(store) },
            KeyOwnership::GivenUp { epoch, owner } => KeyReport { key, epoch, owner: Some(owner) },
        };
        let reports = keys.map(report).collect();
        self.messages_in_flight.insert(Message::Redirect { router, part, by: store, reports });
    }

    fn deliver(&mut self, message: Message, bug: SeededBug) {
        match message {
            Message::Request { router, part, range, to } => self.serve(router, part, range, to),
            Message::Answer { router, part } => self.receive_answer(router, part, bug),
            Message::Redirect { router, part, by, reports } => {
                self.receive_redirect(router, part, by, &reports)
            }
        }
    }

    fn receive_answer(&mut self, router: usize, part: usize, bug: SeededBug) {
        let router = &mut self.routers[router];
        if !router.awaits(part) {
            return;
        }
        (router.parts[part].in_flight, router.parts[part].answered) = (false, true);
        let is_complete = check_coverage(&[all_keys()], &router.answered_ranges()) == Coverage::Exact;
        if is_complete || bug == SeededBug::CompleteTooEarly {
            router.end = Some(QueryEnd::Complete);
        }
    }

    fn receive_redirect(&mut self, router: usize, part: usize, by: u32, reports: &[KeyReport]) {
        let to_change = |report: &KeyReport| change(one_key(report.key), report.epoch, report.owner);
        let changes: Vec<OwnershipChange> = reports.iter().map(to_change).collect();
        let redirected = &mut self.routers[router];
        // The map is also updated by redirects of a query that has ended.
        redirected.map.apply_redirect(Nanos(0), &changes);
        if !redirected.awaits(part) {
            return;
        }
        let map = redirected.map.clone();
        let hop = redirected.parts[part].route.record_redirect(&map, NodeId(by), &changes);
        self.forward(router, part, hop);
    }

    fn begin_migration(&mut self, range: KeyRange, to: u32) {
        self.epoch += 1;
        self.migrations_left -= 1;
        self.migration = Some(Migration { range, to, epoch: self.epoch, released: false, started: false });
    }

    fn release(&mut self) -> Option<()> {
        let migration = self.migration.as_mut()?;
        migration.released = true;
        let (to, epoch) = (migration.to, migration.epoch);
        let keys = migration.range.first as usize..=migration.range.last as usize;
        let stores = self.stores.iter_mut().enumerate();
        for (_, ownership) in stores.filter(|(store, _)| *store != to as usize) {
            for key in &mut ownership[keys.clone()] {
                if matches!(key, KeyOwnership::Owned { .. }) {
                    *key = KeyOwnership::GivenUp { epoch, owner: to };
                }
            }
        }
        self.complete_migration();
        Some(())
    }

    fn start(&mut self) -> Option<()> {
        let migration = self.migration.as_mut()?;
        migration.started = true;
        let epoch = migration.epoch;
        let keys = migration.range.first as usize..=migration.range.last as usize;
        self.stores[migration.to as usize][keys].fill(KeyOwnership::Owned { epoch });
        self.complete_migration();
        Some(())
    }

    fn complete_migration(&mut self) {
        let is_complete = |migration: &mut Migration| migration.released && migration.started;
        if let Some(migration) = self.migration.take_if(is_complete) {
            self.completed = Some((migration.range, migration.to, migration.epoch));
        }
    }

    /// Ends a query after a time-out of one of its parts, which is not retried, since it may have been executed; with
    /// the bug `RetryAfterTimeout` it is retried.
    fn time_out(&mut self, router: usize, part: usize) {
        if self.retries_left > 0 {
            self.retries_left -= 1;
            let retrying = &self.routers[router];
            let hop = retrying.parts[part].route.first_hop(&retrying.map);
            self.forward(router, part, hop);
        } else {
            self.routers[router].parts[part].in_flight = false;
            self.routers[router].end = Some(QueryEnd::Failed);
        }
    }
}

impl MigrationModel {
    fn initial_world(&self) -> World {
        let mut stores = vec![[KeyOwnership::NeverOwned; KEYS]; self.stores as usize];
        stores[0] = [KeyOwnership::Owned { epoch: 1 }; KEYS];
        let router = |owner: &Option<u32>| {
            let mut map = PlacementMap::default();
            if let Some(owner) = owner {
                map.apply(Nanos(0), &change(all_keys(), 1, Some(*owner)), Source::EndpointList);
            }
            let part = Part::new(PartRoute::new(all_keys(), MAX_HOPS), false);
            Router { map, parts: vec![part], end: None }
        };
        World {
            stores,
            migration: None,
            completed: None,
            epoch: 1,
            migrations_left: self.migrations,
            losses_left: self.losses,
            retries_left: u32::from(self.bug == SeededBug::RetryAfterTimeout),
            routers: self.initial_owners.iter().map(router).collect(),
            messages_in_flight: BTreeSet::new(),
            executions: vec![[0; KEYS]; self.initial_owners.len()],
        }
    }

    fn migration_steps(&self, world: &World) -> Vec<Step> {
        match &world.migration {
            None if world.migrations_left > 0 => {
                let ranges = [one_key(0), one_key(1), all_keys()];
                let targets = 0..self.stores;
                targets.flat_map(|to| ranges.map(|range| Step::BeginMigration(range, to))).collect()
            }
            None => Vec::new(),
            Some(migration) => {
                let release = (!migration.released).then_some(Step::Release);
                let start = (!migration.started).then_some(Step::Start);
                release.into_iter().chain(start).collect()
            }
        }
    }
}

impl Model for MigrationModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let mut world = self.initial_world();
        for index in 0..world.routers.len() {
            let hop = world.routers[index].parts[0].route.first_hop(&world.routers[index].map);
            world.forward(index, 0, hop);
        }
        vec![world]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        steps.extend(self.migration_steps(world));
        if world.completed.is_some() {
            steps.extend((0..world.routers.len()).map(Step::ReportByList));
        }
        for message in &world.messages_in_flight {
            steps.push(Step::Deliver(message.clone()));
            steps.extend((world.losses_left > 0).then(|| Step::Lose(message.clone())));
        }
        let waiting = world.routers.iter().enumerate().filter(|(_, router)| router.end.is_none());
        for (router, waiting) in waiting {
            let in_flight = waiting.parts.iter().enumerate().filter(|(_, part)| part.in_flight);
            steps.extend(in_flight.map(|(part, _)| Step::TimeOut(router, part)));
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut world = world.clone();
        match step {
            Step::BeginMigration(range, to) => world.begin_migration(range, to),
            Step::Release => world.release()?,
            Step::Start => world.start()?,
            Step::ReportByList(router) => {
                let (range, to, epoch) = world.completed?;
                let reported = change(range, epoch, Some(to));
                world.routers[router].map.apply(Nanos(0), &reported, Source::EndpointList);
            }
            Step::Deliver(message) => {
                world.messages_in_flight.remove(&message);
                world.deliver(message, self.bug);
            }
            Step::Lose(message) => {
                world.messages_in_flight.remove(&message);
                world.losses_left -= 1;
            }
            Step::TimeOut(router, part) => world.time_out(router, part),
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<MigrationModel>> {
        vec![
            Property::always(NEVER_EXECUTED_TWICE, |_, world: &World| {
                world.executions.iter().flatten().all(|executions| *executions <= 1)
            }),
            Property::always(COMPLETE_ONLY_IF_ANSWERED_ONCE, |_, world: &World| {
                world.routers.iter().all(|router| {
                    match (router.end, check_coverage(&[all_keys()], &router.answered_ranges())) {
                        (_, Coverage::Excess(_)) => false,
                        (Some(QueryEnd::Complete), coverage) => coverage == Coverage::Exact,
                        _ => true,
                    }
                })
            }),
            Property::always(REJECTED_ONLY_IF_NOT_EXECUTED, |_, world: &World| {
                let queries = world.routers.iter().zip(&world.executions);
                queries
                    .filter(|(router, _)| router.end == Some(QueryEnd::Rejected))
                    .all(|(_, executions)| *executions == [0; KEYS])
            }),
            Property::eventually(EVERY_QUERY_ENDS, |_, world: &World| {
                world.routers.iter().all(|router| router.end.is_some())
            }),
            Property::sometimes("a query is complete after a migration", |_, world: &World| {
                world.epoch > 1 && world.routers.iter().any(|router| router.end == Some(QueryEnd::Complete))
            }),
            Property::sometimes("a query with a split part is complete", |_, world: &World| {
                let is_split_and_complete = |router: &Router| {
                    router.end == Some(QueryEnd::Complete) && router.parts.iter().any(|part| part.split)
                };
                world.routers.iter().any(is_split_and_complete)
            }),
        ]
    }
}

fn two_store_model() -> MigrationModel {
    MigrationModel {
        stores: 2,
        migrations: 2,
        losses: 1,
        initial_owners: vec![Some(0)],
        bug: SeededBug::None,
    }
}

#[test]
fn no_order_of_migrations_and_losses_violates_a_property() {
    let checker = two_store_model().checker().threads(2).spawn_bfs().join();
    println!("{} states", checker.unique_state_count());
    checker.assert_properties();
    assert!(checker.is_done() && checker.unique_state_count() > 1_000);
}

#[test]
fn the_check_finds_a_retry_of_a_part_that_may_have_run() {
    let model = MigrationModel { bug: SeededBug::RetryAfterTimeout, ..two_store_model() };
    let checker = model.checker().threads(2).spawn_bfs().join();
    let path = checker.discovery(NEVER_EXECUTED_TWICE).expect("the seeded bug is found");
    println!("{:?}", path.into_actions());
}

#[test]
fn the_check_finds_a_query_marked_complete_too_early() {
    let model = MigrationModel { bug: SeededBug::CompleteTooEarly, ..two_store_model() };
    let checker = model.checker().threads(2).spawn_bfs().join();
    let path = checker.discovery(COMPLETE_ONLY_IF_ANSWERED_ONCE).expect("the seeded bug is found");
    println!("{:?}", path.into_actions());
}

/// Run it with `cargo test --release -p fernknot-placement --test migration_model -- --ignored --nocapture`.
#[test]
#[ignore = "needs minutes and gigabytes"]
fn no_property_is_violated_in_a_larger_model() {
    let larger = MigrationModel { stores: 3, initial_owners: vec![Some(0), Some(1)], ..two_store_model() };
    let checker = larger.checker().threads(8).target_state_count(20_000_000).spawn_bfs().join();
    println!("{} states, search complete: {}", checker.unique_state_count(), checker.is_done());
    checker.assert_no_discovery(NEVER_EXECUTED_TWICE);
    checker.assert_no_discovery(COMPLETE_ONLY_IF_ANSWERED_ONCE);
    checker.assert_no_discovery(REJECTED_ONLY_IF_NOT_EXECUTED);
    checker.assert_no_discovery(EVERY_QUERY_ENDS);
    assert!(checker.unique_state_count() >= 1_000_000);
}
