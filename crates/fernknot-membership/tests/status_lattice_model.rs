//! Model of statuses among three routers, checked over all orders of suspecting, timing out, sending, refuting, losing
//! and stopping. The lattice is the production code; modelled is the exchange of messages.

use fernknot_membership::{Incarnation, Status, VersionedStatus};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const ROUTERS: usize = 3;

const INCARNATION_NEVER_DECREASES: &str = "the incarnation in a view never decreases";
const ONLY_CLAIMED_INCARNATIONS: &str = "no view has an incarnation that the router never had";
const VIEWS_CONVERGE: &str = "after all updates are delivered, all views agree that each router is alive";
const SOME_ROUTER_FAILS: &str = "some router counts as failed";

/// Highest incarnation in the explored state space.
const MAX_INCARNATION: u64 = 3;
/// Maximum number of updates in flight at once.
const MAX_IN_FLIGHT: usize = 3;

/// Bugs that the model is given on purpose, to show that the checker finds them.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SeededBug {
    None,
    /// Refutations reuse the reported incarnation.
    SameIncarnation,
    /// Updates replace the known state, whatever their incarnation.
    LastUpdateWins,
}

struct StatusModel(SeededBug);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct SentUpdate {
    to: usize,
    member: usize,
    state: VersionedStatus,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    incarnations: [u64; ROUTERS],
    views: [[VersionedStatus; ROUTERS]; ROUTERS],
    in_flight: BTreeSet<SentUpdate>,
    stopped: Option<usize>,
    /// Whether a view changed to an older incarnation.
    went_to_older_incarnation: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Step {
    Suspect {
        by: usize,
        member: usize,
    },
    TimeOut {
        by: usize,
        member: usize,
    },
    Send {
        by: usize,
        to: usize,
        member: usize,
    },
    /// Delivers an update that stays in flight, so that updates may arrive twice.
    Deliver(SentUpdate),
    Lose(SentUpdate),
    Stop(usize),
    Wake,
}

fn alive(incarnation: u64) -> VersionedStatus {
    VersionedStatus::alive(Incarnation(incarnation))
}

impl StatusModel {
    fn receive(&self, world: &mut World, update: &SentUpdate) {
        let SentUpdate { to, member, state } = *update;
        if to == member {
            return self.refute(world, member, state);
        }
        let view = &mut world.views[to][member];
        let before = *view;
        match self.0 {
            SeededBug::LastUpdateWins => *view = state,
            _ => drop(view.merge(state)),
        }
        world.went_to_older_incarnation |= view.incarnation < before.incarnation;
    }

    fn refute(&self, world: &mut World, member: usize, reported: VersionedStatus) {
        let claimed = alive(world.incarnations[member]);
        if reported > claimed && reported.incarnation.0 <= MAX_INCARNATION {
            let increment = if self.0 == SeededBug::SameIncarnation { 0 } else { 1 };
            let refuting_incarnation = reported.incarnation.0 + increment;
            world.incarnations[member] = refuting_incarnation.max(world.incarnations[member]);
            world.views[member][member] = alive(world.incarnations[member]);
        }
    }

    /// Returns the state after all routers have sent their views to all others until nothing changes, without losses or
    /// suspicions.
    fn settled(&self, world: &World) -> World {
        let mut world = World { stopped: None, in_flight: BTreeSet::new(), ..world.clone() };
        for _ in 0..16 {
            for (by, to, member) in
                all().flat_map(|by| all().flat_map(move |to| all().map(move |member| (by, to, member))))
            {
                let state = world.views[by][member];
                if by != to {
                    self.receive(&mut world, &SentUpdate { to, member, state });
                }
            }
        }
        world
    }
}

fn all() -> std::ops::Range<usize> {
    0..ROUTERS
}

impl Model for StatusModel {
    type State = World;
    type Action = Step;

    fn init_states(&self) -> Vec<World> {
        let views = [[alive(1); ROUTERS]; ROUTERS];
        vec![World {
            incarnations: [1; ROUTERS],
            views,
            in_flight: BTreeSet::new(),
            stopped: None,
            went_to_older_incarnation: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let is_running = |id: &usize| world.stopped != Some(*id);
        for by in all().filter(is_running) {
            for member in all().filter(|member| *member != by) {
                let view = world.views[by][member];
                match view.status {
                    Status::Alive if view.incarnation.0 < MAX_INCARNATION => {
                        steps.push(Step::Suspect { by, member })
                    }
                    Status::Suspected { .. } => steps.push(Step::TimeOut { by, member }),
                    _ => {}
                }
            }
            if world.in_flight.len() < MAX_IN_FLIGHT {
                let others = all().filter(|to| *to != by);
                steps.extend(others.flat_map(|to| all().map(move |member| Step::Send { by, to, member })));
            }
        }
        for update in &world.in_flight {
            if is_running(&update.to) {
                steps.push(Step::Deliver(update.clone()));
            }
            steps.push(Step::Lose(update.clone()));
        }
        match world.stopped {
            None => steps.push(Step::Stop(0)),
            Some(_) => steps.push(Step::Wake),
        }
    }

    fn next_state(&self, world: &World, step: Step) -> Option<World> {
        let mut next = world.clone();
        match step {
            Step::Suspect { by, member } => {
                next.views[by][member].status = Status::Suspected { round: 0 };
            }
            Step::TimeOut { by, member } => next.views[by][member].status = Status::Failed,
            Step::Send { by, to, member } => {
                next.in_flight.insert(SentUpdate { to, member, state: world.views[by][member] });
            }
            Step::Deliver(update) => self.receive(&mut next, &update),
            Step::Lose(update) => drop(next.in_flight.remove(&update)),
            Step::Stop(id) => next.stopped = Some(id),
            Step::Wake => next.stopped = None,
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always(INCARNATION_NEVER_DECREASES, |_, world: &World| {
                !world.went_to_older_incarnation
            }),
            Property::always(ONLY_CLAIMED_INCARNATIONS, |_, world: &World| {
                all().all(|by| {
                    all().all(|member| world.views[by][member].incarnation.0 <= world.incarnations[member])
                })
            }),
            // From any view, all routers agree that each router is alive once updates are delivered.
            Property::always(VIEWS_CONVERGE, |model: &Self, world: &World| {
                let end = model.settled(world);
                all().all(|by| all().all(|member| end.views[by][member] == alive(end.incarnations[member])))
            }),
            Property::sometimes(SOME_ROUTER_FAILS, |_, world: &World| {
                world.views.iter().flatten().any(|view| view.status == Status::Failed)
            }),
        ]
    }
}

/// Number of states explored by default; `FERNKNOT_MODEL_STATES` overrides it (`docs/membership.md`).
const DEFAULT_MAX_STATES: usize = 200_000;

#[test]
fn status_properties_hold_in_every_order_of_events() {
    let max_states = std::env::var("FERNKNOT_MODEL_STATES")
        .ok()
        .and_then(|text| text.parse().ok())
        .unwrap_or(DEFAULT_MAX_STATES);
    let checker = StatusModel(SeededBug::None).checker().target_state_count(max_states).spawn_bfs().join();
    println!("{} states, {} of them unique", checker.state_count(), checker.unique_state_count());
    checker.assert_no_discovery(INCARNATION_NEVER_DECREASES);
    checker.assert_no_discovery(ONLY_CLAIMED_INCARNATIONS);
    checker.assert_no_discovery(VIEWS_CONVERGE);
    checker.assert_any_discovery(SOME_ROUTER_FAILS);
}

#[test]
fn seeded_bugs_are_found() {
    let find = |bug, property| {
        let checker =
            StatusModel(bug).checker().target_state_count(2 * DEFAULT_MAX_STATES).spawn_dfs().join();
        let path = checker.discovery(property).unwrap_or_else(|| panic!("{property} was not violated"));
        println!("{property}: {:?}", path.into_actions());
    };
    find(SeededBug::SameIncarnation, VIEWS_CONVERGE);
    find(SeededBug::LastUpdateWins, INCARNATION_NEVER_DECREASES);
}
