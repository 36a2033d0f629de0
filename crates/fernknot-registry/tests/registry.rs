//! What a controller knows of nodes, and what a gateway takes of it.

mod common;

use assert_matches::assert_matches;
use common::{BEAT, at, fact, registry};
use fernknot_registry::NodeState::{Draining, Gone, Lost, Ready};
use fernknot_registry::{
    CallOutcome, NodeDirectory, NodeDirectoryLimits, NodeRecord, NodeState, incarnation_hash,
};
use proptest::prelude::*;
use test_case::test_case;

fn state(registry: &fernknot_registry::Registry, id: &str) -> Option<NodeState> {
    registry.get(id).map(|fact| fact.state)
}

#[test_case(Draining, 2, Ready, 3, CallOutcome::Unchanged, Draining; "draining is never taken back")]
#[test_case(Ready, 3, Draining, 4, CallOutcome::Changed, Draining; "a newer call counts")]
#[test_case(Ready, 3, Draining, 2, CallOutcome::Stale, Ready; "an older call changes nothing")]
#[test_case(Ready, 3, Ready, 3, CallOutcome::Unchanged, Ready; "a call heard twice is the same")]
fn given_a_life_when_it_beats_again(
    first: NodeState,
    seq: u64,
    then: NodeState,
    later: u64,
    noted: CallOutcome,
    left: NodeState,
) {
    let mut registry = registry();
    assert_eq!(registry.record_heartbeat(at(0.0), fact("a", 1, first, seq)), CallOutcome::New);
    assert_eq!(registry.record_heartbeat(at(1.0), fact("a", 1, then, later)), noted);
    assert_eq!(state(&registry, "a"), Some(left));
}

#[test]
fn given_a_deregistered_life_when_a_late_beat_or_another_controller_names_it_then_it_stays_gone() {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), fact("a", 1, Ready, 1));
    assert_eq!(registry.deregister(at(0.5), "a"), CallOutcome::Changed);
    assert_eq!(registry.deregister(at(0.6), "never-heard"), CallOutcome::New);
    assert_eq!(registry.record_heartbeat(at(1.0), fact("a", 1, Ready, 9)), CallOutcome::Stale);
    registry.merge_reported(at(1.0), &[fact("a", 1, Ready, 10), fact("never-heard", 2, Ready, 10)]);
    assert_eq!(state(&registry, "a"), Some(Gone));
    assert_eq!(state(&registry, "never-heard"), Some(Gone));
}

#[test]
fn given_silence_when_three_and_a_half_beats_pass_then_the_life_is_lost_and_a_later_beat_brings_it_back() {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), fact("a", 1, Draining, 1));
    assert_eq!(registry.expire(at(3.4)), 0);
    assert_eq!(registry.expire(at(3.6)), 1);
    assert_eq!(state(&registry, "a"), Some(Lost));
    assert_eq!(registry.record_heartbeat(at(4.0), fact("a", 1, Draining, 1)), CallOutcome::Stale);
    assert_eq!(registry.record_heartbeat(at(5.0), fact("a", 1, Ready, 2)), CallOutcome::Changed);
    assert_eq!(state(&registry, "a"), Some(Draining), "the word before the loss still holds");
}

#[test]
fn given_a_controller_that_was_frozen_when_it_wakes_then_all_lives_get_a_full_span_again() {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), fact("a", 1, Ready, 1));
    registry.reset_liveness(at(20.0));
    assert_eq!(registry.expire(at(20.0)), 0);
    assert_eq!(registry.expire(at(23.4)), 0);
    assert_eq!(registry.expire(at(23.6)), 1);
}

#[test]
fn given_beats_at_another_controller_when_it_says_so_then_they_hold_here_and_unknown_ones_are_asked_for() {
    let (mut here, mut there) = (registry(), registry());
    there.record_heartbeat(at(0.0), fact("a", 1, Ready, 1));
    let unknown = here.record_peer_heartbeats(at(0.0), &there.take_unreported(at(0.0)));
    assert_eq!(unknown, vec![incarnation_hash("a")]);
    here.merge_reported(at(0.0), &there.records_of(&unknown));
    for turn in 1..20 {
        let now = at(turn as f64);
        assert_eq!(there.record_heartbeat(now, fact("a", 1, Ready, 1 + turn)), CallOutcome::Unchanged);
        assert!(here.record_peer_heartbeats(now, &there.take_unreported(now)).is_empty());
        here.expire(now);
        assert_eq!(state(&here, "a"), Some(Ready));
    }
    assert_eq!(here.version(), 1, "beats alone are no changes");
}

#[test]
fn given_two_controllers_that_were_cut_apart_when_one_lost_what_the_other_hears_then_the_other_corrects_it() {
    let (mut cut, mut well) = (registry(), registry());
    for registry in [&mut cut, &mut well] {
        registry.record_heartbeat(at(0.0), fact("a", 1, Ready, 1));
    }
    well.record_heartbeat(at(4.0), fact("a", 1, Ready, 5));
    cut.expire(at(4.0));
    assert_eq!(state(&cut, "a"), Some(Lost));
    let known = well.version();
    well.merge_reported(at(4.0), &cut.snapshot().1);
    assert_eq!(state(&well, "a"), Some(Ready));
    let (_, again) = well.changes_since(known).unwrap();
    cut.merge_reported(at(4.0), &again);
    assert_eq!(state(&cut, "a"), Some(Ready));
}

#[test]
fn given_a_dead_life_when_two_controllers_keep_telling_each_other_then_it_still_expires() {
    let (mut one, mut two) = (registry(), registry());
    one.record_heartbeat(at(0.0), fact("a", 1, Ready, 1));
    for tenth in 0..100 {
        let now = at(tenth as f64 / 10.0);
        two.merge_reported(now, &one.snapshot().1);
        one.merge_reported(now, &two.snapshot().1);
        one.expire(now);
        two.expire(now);
    }
    assert_eq!((state(&one, "a"), state(&two, "a")), (Some(Lost), Some(Lost)));
}

#[test]
fn given_an_address_when_a_new_life_beats_there_then_the_older_is_out_and_a_stale_telling_cannot_take_it_back()
 {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), fact("old", 1, Ready, 40));
    registry.record_heartbeat(at(2.0), fact("new", 1, Ready, 0));
    assert_eq!((state(&registry, "old"), state(&registry, "new")), (Some(Lost), Some(Ready)));
    registry.merge_reported(at(2.5), &[fact("old", 1, Ready, 41), fact("other", 1, Ready, 41)]);
    assert_eq!((state(&registry, "old"), state(&registry, "new")), (Some(Lost), Some(Ready)));
    assert_eq!(registry.get("other"), None);
}

#[test]
fn given_lives_long_out_when_forgotten_then_old_versions_need_a_snapshot() {
    let mut registry = registry();
    registry.record_heartbeat(at(0.0), fact("a", 1, Ready, 1));
    registry.record_heartbeat(at(0.0), fact("b", 2, Ready, 1));
    registry.deregister(at(0.0), "a");
    assert_matches!(registry.changes_since(2), Some((3, changed)) if changed.len() == 1);
    registry.reset_liveness(at(101.0));
    registry.expire(at(101.0));
    assert_eq!(registry.changes_since(2), None);
    assert_eq!(registry.changes_since(99), None);
    assert_matches!(registry.snapshot(), (3, all) if all.len() == 1);
}

#[test]
fn given_a_full_list_when_a_new_life_beats_then_one_that_is_out_makes_room_and_none_that_is_up() {
    let mut registry = registry();
    for place in 0..16 {
        registry.record_heartbeat(at(0.0), fact(&format!("n{place}"), place, Ready, 1));
    }
    assert_eq!(registry.record_heartbeat(at(0.0), fact("late", 100, Ready, 1)), CallOutcome::Rejected);
    registry.deregister(at(0.0), "n3");
    assert_eq!(registry.record_heartbeat(at(0.0), fact("late", 100, Ready, 1)), CallOutcome::New);
    assert_eq!((registry.len(), registry.get("n3")), (16, None));
}

#[test]
fn given_a_pool_when_a_restarted_controller_names_few_then_the_rest_stays_until_it_was_well_for_long() {
    let mut pool = NodeDirectory::new(BEAT, NodeDirectoryLimits::default());
    pool.apply_snapshot(at(0.0), None, &[fact("a", 1, Ready, 1), fact("b", 2, Ready, 1)]);
    pool.apply_snapshot(at(1.0), None, &[fact("a", 1, Ready, 2)]);
    pool.expire(at(60.0));
    assert_eq!(pool.ready_nodes("gallery").count(), 2, "no teller was well meanwhile");
    for beat in 60..80 {
        pool.record_source_heartbeat(at(beat as f64));
        pool.expire(at(beat as f64));
    }
    assert_eq!(pool.ready_nodes("gallery").map(|fact| fact.id.as_str()).collect::<Vec<_>>(), ["a"]);
    pool.apply_updates(at(80.0), &[fact("b", 2, Ready, 70)]);
    assert_eq!(pool.ready_nodes("gallery").count(), 2);
}

fn any_fact() -> impl Strategy<Value = NodeRecord> {
    let state = prop::sample::select(vec![Ready, Draining, Lost, Gone]);
    // One life says what it says: the call's number decides all but the state.
    (0..4u8, state, 0..6u64).prop_map(|(life, state, seq)| fact(&format!("n{life}"), life, state, seq))
}

proptest! {
    #[test]
    fn whatever_is_told_in_whatever_order_all_who_heard_it_agree(
        facts in prop::collection::vec(any_fact(), 0..24),
        turn in any::<prop::sample::Index>(),
    ) {
        let join = |facts: &[NodeRecord]| {
            let mut joined = std::collections::BTreeMap::<String, NodeRecord>::new();
            for fact in facts {
                joined.entry(fact.id.clone()).and_modify(|known| { known.merge(fact); }).or_insert(fact.clone());
            }
            // Draining and then lost: which of both was last depends on the order; neither takes requests.
            joined.into_values().map(|fact| (fact.id.clone(), fact.sequence, fact.state == Gone)).collect::<Vec<_>>()
        };
        let mut turned = facts.clone();
        if !turned.is_empty() {
            let by = turn.index(turned.len());
            turned.rotate_left(by);
            turned.reverse();
        }
        prop_assert_eq!(join(&facts), join(&turned));
    }

    #[test]
    fn whatever_comes_a_life_that_said_it_leaves_never_runs_again(
        calls in prop::collection::vec((any_fact(), 0..4u8, 0..3u64), 1..60),
    ) {
        let mut registry = registry();
        let mut pool = NodeDirectory::new(BEAT, NodeDirectoryLimits::default());
        let mut leaving = std::collections::BTreeSet::new();
        let (mut now, mut seen) = (0, 0);
        for (fact, how, later) in calls {
            now += later;
            let now = at(now as f64);
            let known = registry.get(&fact.id).map(|known| known.sequence);
            match how {
                0 => { registry.record_heartbeat(now, fact.clone()); }
                1 => { registry.merge_reported(now, std::slice::from_ref(&fact)); }
                2 => { registry.deregister(now, &fact.id); }
                _ => { registry.expire(now); }
            }
            if how == 2 || (how < 2 && fact.state == Draining && known.is_none_or(|known| fact.sequence > known)) {
                leaving.insert(fact.id.clone());
            }
            let (version, changed) = registry.changes_since(seen).unwrap_or_else(|| registry.snapshot());
            prop_assert!(version >= seen);
            seen = version;
            pool.apply_updates(now, &changed);
            for id in &leaving {
                prop_assert!(!registry.get(id).is_some_and(NodeRecord::is_ready), "{id} in the registry");
                prop_assert!(!pool.get(id).is_some_and(NodeRecord::is_ready), "{id} in the pool");
            }
            // What is told as changes amounts to the whole.
            for fact in registry.snapshot().1 {
                prop_assert_eq!(pool.get(&fact.id).map(NodeRecord::is_ready), Some(fact.is_ready()));
            }
        }
    }

    #[test]
    fn whatever_bytes_come_reading_them_as_facts_does_not_panic(
        bytes in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let _ = bitcode::decode::<Vec<NodeRecord>>(&bytes);
    }
}
