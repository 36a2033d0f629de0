//! Verdicts among three routers, checked over all orders of accusing, ripening, telling, refuting, losing and
//! stopping. The lattice is the production code; what is modelled is who says what to whom, and when.

use fernknot_membership::{Incarnation, Standing, Verdict};
use stateright::{Checker, Model, Property};
use std::collections::BTreeSet;

const ROUTERS: usize = 3;
/// Refutations that one router may come to, and words under way at once.
const MOST: u64 = 3;
const WORDS: usize = 3;

/// Rules that can be broken on purpose, to see that the checker finds it.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Planted {
    Nothing,
    /// A refutation that does not grow.
    SameIncarnation,
    /// The last word counts, whatever incarnation it is of.
    LastWord,
}

struct Verdicts(Planted);

#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
struct Word {
    to: usize,
    of: usize,
    standing: Standing,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    own: [u64; ROUTERS],
    views: [[Standing; ROUTERS]; ROUTERS],
    words: BTreeSet<Word>,
    stopped: Option<usize>,
    /// A view went back to an older incarnation.
    went_back: bool,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Doubt {
        by: usize,
        of: usize,
    },
    Ripen {
        by: usize,
        of: usize,
    },
    Tell {
        by: usize,
        to: usize,
        of: usize,
    },
    /// Delivered and still under way: words may come twice.
    Deliver(Word),
    Lose(Word),
    Stop(usize),
    Wake,
}

fn alive(incarnation: u64) -> Standing {
    Standing { incarnation: Incarnation(incarnation), verdict: Verdict::Alive }
}

impl Verdicts {
    fn hear(&self, world: &mut World, word: &Word) {
        let Word { to, of, standing } = *word;
        if to == of {
            let held = alive(world.own[of]);
            if standing > held && standing.incarnation.0 <= MOST {
                let grown = if self.0 == Planted::SameIncarnation { 0 } else { 1 };
                world.own[of] = (standing.incarnation.0 + grown).max(world.own[of]);
                world.views[of][of] = alive(world.own[of]);
            }
            return;
        }
        let view = &mut world.views[to][of];
        let before = *view;
        match self.0 {
            Planted::LastWord => *view = standing,
            _ => drop(view.join(standing)),
        }
        world.went_back |= view.incarnation < before.incarnation;
    }

    /// What comes of a world in which no more is lost and nobody accuses: all tell all until nothing changes.
    fn settled(&self, world: &World) -> World {
        let mut world = World { stopped: None, words: BTreeSet::new(), ..world.clone() };
        for _ in 0..16 {
            for (by, to, of) in
                all().flat_map(|by| all().flat_map(move |to| all().map(move |of| (by, to, of))))
            {
                let standing = world.views[by][of];
                if by != to {
                    self.hear(&mut world, &Word { to, of, standing });
                }
            }
        }
        world
    }
}

fn all() -> std::ops::Range<usize> {
    0..ROUTERS
}

impl Model for Verdicts {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let views = [[alive(1); ROUTERS]; ROUTERS];
        vec![World { own: [1; ROUTERS], views, words: BTreeSet::new(), stopped: None, went_back: false }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        let runs = |id: &usize| world.stopped != Some(*id);
        for by in all().filter(runs) {
            for of in all().filter(|of| *of != by) {
                match world.views[by][of].verdict {
                    Verdict::Alive if world.views[by][of].incarnation.0 < MOST => {
                        acts.push(Act::Doubt { by, of })
                    }
                    Verdict::Doubted { .. } => acts.push(Act::Ripen { by, of }),
                    _ => {}
                }
            }
            if world.words.len() < WORDS {
                let told =
                    all().filter(|to| *to != by).flat_map(|to| all().map(move |of| Act::Tell { by, to, of }));
                acts.extend(told);
            }
        }
        for word in &world.words {
            if runs(&word.to) {
                acts.push(Act::Deliver(word.clone()));
            }
            acts.push(Act::Lose(word.clone()));
        }
        match world.stopped {
            None => acts.push(Act::Stop(0)),
            Some(_) => acts.push(Act::Wake),
        }
    }

    fn next_state(&self, world: &World, act: Act) -> Option<World> {
        let mut next = world.clone();
        match act {
            Act::Doubt { by, of } => next.views[by][of].verdict = Verdict::Doubted { round: 0 },
            Act::Ripen { by, of } => next.views[by][of].verdict = Verdict::Lost,
            Act::Tell { by, to, of } => {
                next.words.insert(Word { to, of, standing: world.views[by][of] });
            }
            Act::Deliver(word) => self.hear(&mut next, &word),
            Act::Lose(word) => drop(next.words.remove(&word)),
            Act::Stop(id) => next.stopped = Some(id),
            Act::Wake => next.stopped = None,
        }
        (next != *world).then_some(next)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("a verdict never goes back to an older incarnation", |_, world: &World| {
                !world.went_back
            }),
            Property::always("nobody is known by an incarnation that it never had", |_, world: &World| {
                all().all(|by| all().all(|of| world.views[by][of].incarnation.0 <= world.own[of]))
            }),
            // Whatever was believed: once words pass, all agree, and hold all that live for alive.
            Property::always(
                "who lives and is heard is alive at all in the end",
                |model: &Self, world: &World| {
                    let end = model.settled(world);
                    all().all(|by| all().all(|of| end.views[by][of] == alive(end.own[of])))
                },
            ),
            Property::sometimes("someone is held for lost", |_, world: &World| {
                world.views.iter().flatten().any(|view| view.verdict == Verdict::Lost)
            }),
        ]
    }
}

/// How far the search goes in CI; by hand it goes on (`docs/membership.md`).
const STATES: usize = 200_000;

#[test]
fn verdicts_keep_their_promises_in_every_order() {
    let most =
        std::env::var("FERNKNOT_MODEL_STATES").ok().and_then(|text| text.parse().ok()).unwrap_or(STATES);
    let checker = Verdicts(Planted::Nothing).checker().target_state_count(most).spawn_bfs().join();
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    checker.assert_no_discovery("a verdict never goes back to an older incarnation");
    checker.assert_no_discovery("nobody is known by an incarnation that it never had");
    checker.assert_no_discovery("who lives and is heard is alive at all in the end");
    checker.assert_any_discovery("someone is held for lost");
}

#[test]
fn planted_breaks_are_found() {
    let found = |planted, promise| {
        let checker = Verdicts(planted).checker().target_state_count(2 * STATES).spawn_dfs().join();
        let path = checker.discovery(promise).unwrap_or_else(|| panic!("{promise} was not broken"));
        println!("{promise}: {:?}", path.into_actions());
    };
    found(Planted::SameIncarnation, "who lives and is heard is alive at all in the end");
    found(Planted::LastWord, "a verdict never goes back to an older incarnation");
}
