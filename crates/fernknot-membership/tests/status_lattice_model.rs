//! Statuses among three routers, checked over all orders of suspecting, timing out, sending, refuting, losing and
//! stopping. The lattice is the production code; what is modelled is who sends what to whom, and when.

use fernknot_membership::{Incarnation, Status, VersionedStatus};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const ROUTERS: usize = 3;

const NEVER_GOES_BACK: &str = "a status never goes back to an older incarnation";
const NO_INVENTED_INCARNATION: &str = "nobody is known by an incarnation that it never had";
const ALL_AGREE_IN_THE_END: &str = "in the end all agree that each running router is alive";
const SOMEONE_FAILS: &str = "someone counts as failed";

/// The highest incarnation, and updates in flight at once.
const MAX_INCARNATION: u64 = 3;
const MAX_IN_FLIGHT: usize = 3;

/// Rules that are broken on purpose, to see that the checker finds it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum SeededBug {
    None,
    /// A refutation that does not grow.
    SameIncarnation,
    /// The last update counts, whatever incarnation it is of.
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
    /// A view went back to an older incarnation.
    went_back: bool,
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
    /// Delivered and still in flight: updates may arrive twice.
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
        world.went_back |= view.incarnation < before.incarnation;
    }

    fn refute(&self, world: &mut World, member: usize, reported: VersionedStatus) {
        let claimed = alive(world.incarnations[member]);
        if reported > claimed && reported.incarnation.0 <= MAX_INCARNATION {
            let growth = if self.0 == SeededBug::SameIncarnation { 0 } else { 1 };
            let refuting = reported.incarnation.0 + growth;
            world.incarnations[member] = refuting.max(world.incarnations[member]);
            world.views[member][member] = alive(world.incarnations[member]);
        }
    }

    /// What comes of a world in which nothing more is lost and nobody suspects: all send to all until nothing changes.
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
            went_back: false,
        }]
    }

    fn actions(&self, world: &World, steps: &mut Vec<Step>) {
        let runs = |id: &usize| world.stopped != Some(*id);
        for by in all().filter(runs) {
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
            if runs(&update.to) {
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
            Property::always(NEVER_GOES_BACK, |_, world: &World| !world.went_back),
            Property::always(NO_INVENTED_INCARNATION, |_, world: &World| {
                all().all(|by| {
                    all().all(|member| world.views[by][member].incarnation.0 <= world.incarnations[member])
                })
            }),
            // Whatever was believed: once updates pass, all agree that each router is alive.
            Property::always(ALL_AGREE_IN_THE_END, |model: &Self, world: &World| {
                let end = model.settled(world);
                all().all(|by| all().all(|member| end.views[by][member] == alive(end.incarnations[member])))
            }),
            Property::sometimes(SOMEONE_FAILS, |_, world: &World| {
                world.views.iter().flatten().any(|view| view.status == Status::Failed)
            }),
        ]
    }
}

/// How far the search goes in CI; `FERNKNOT_MODEL_STATES` lets it go further (`docs/membership.md`).
const STATES: usize = 200_000;

#[test]
fn statuses_keep_their_promises_in_every_order() {
    let max_states =
        std::env::var("FERNKNOT_MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(STATES);
    let checker = StatusModel(SeededBug::None).checker().target_state_count(max_states).spawn_bfs().join();
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    checker.assert_no_discovery(NEVER_GOES_BACK);
    checker.assert_no_discovery(NO_INVENTED_INCARNATION);
    checker.assert_no_discovery(ALL_AGREE_IN_THE_END);
    checker.assert_any_discovery(SOMEONE_FAILS);
}

#[test]
fn seeded_bugs_are_found() {
    let find = |bug, promise| {
        let checker = StatusModel(bug).checker().target_state_count(2 * STATES).spawn_dfs().join();
        let path = checker.discovery(promise).unwrap_or_else(|| panic!("{promise} was not broken"));
        println!("{promise}: {:?}", path.into_actions());
    };
    find(SeededBug::SameIncarnation, ALL_AGREE_IN_THE_END);
    find(SeededBug::LastUpdateWins, NEVER_GOES_BACK);
}
