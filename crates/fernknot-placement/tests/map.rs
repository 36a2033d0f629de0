//! The map against a plain one key by key, in any order of changes; routes; snapshots.

use fernknot::interface::{Nanos, NodeId};
use fernknot_placement::snapshot::{self, Refused};
use fernknot_placement::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use std::collections::BTreeMap;
use test_case::test_case;

const KEYS: u64 = 48;

fn span(first: u64, last: u64) -> Span {
    Span { first, last }
}

fn nodes(list: &[u32]) -> Owners {
    Owners::new(list.iter().map(|node| NodeId(*node)))
}

fn change(first: u64, last: u64, epoch: u64, owners: &[u32]) -> Change {
    Change { span: span(first, last), epoch: Epoch(epoch), owners: nodes(owners), moving: None }
}

fn moving(first: u64, last: u64, epoch: u64, owners: &[u32], to: &[u32], stage: Stage) -> Change {
    Change { moving: Some(Move { to: nodes(to), stage }), ..change(first, last, epoch, owners) }
}

fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(17),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn any_change() -> impl Strategy<Value = Change> {
    let owners = prop::sample::subsequence(vec![1u32, 2, 3, 4], 0..3);
    (0..KEYS, 0..KEYS, 0u64..40, owners)
        .prop_map(|(one, other, epoch, owners)| change(one.min(other), one.max(other), epoch, &owners))
}

/// What the map says, key by key.
fn by_key(map: &Map) -> BTreeMap<u64, (Epoch, Owners)> {
    let held = (0..KEYS).filter_map(|key| map.at(key).map(|(_, entry)| (key, entry)));
    held.map(|(key, entry)| (key, (entry.epoch, entry.owners.clone()))).collect()
}

fn is_sound(map: &Map) -> bool {
    let spans: Vec<Span> = map.iter().map(|(span, _)| span).collect();
    spans.iter().all(|span| span.first <= span.last) && spans.windows(2).all(|two| two[0].last < two[1].first)
}

proptest! {
    #![proptest_config(config(500))]

    /// Guards routing: whatever is told, the map says of each key what a plain list of keys says.
    #[test]
    fn the_map_is_as_a_plain_list_of_keys(changes in prop::collection::vec(any_change(), 1..60)) {
        let mut map = Map::default();
        let mut plain: BTreeMap<u64, (Epoch, Owners)> = BTreeMap::new();
        for change in &changes {
            map.take(Nanos(1), change, Told::List);
            for key in change.span.first..=change.span.last {
                if plain.get(&key).is_none_or(|(epoch, _)| *epoch < change.epoch) {
                    plain.insert(key, (change.epoch, change.owners.clone()));
                }
            }
            prop_assert!(is_sound(&map));
        }
        prop_assert_eq!(by_key(&map), plain);
    }

    /// Guards against words that arrive late: with an epoch each, any order of changes ends in one map.
    #[test]
    fn any_order_of_changes_ends_in_the_same_map(
        mut changes in prop::collection::vec(any_change(), 1..30),
        by in prop::collection::vec(any::<u32>(), 30),
    ) {
        for (index, change) in changes.iter_mut().enumerate() {
            change.epoch = Epoch(index as u64);
        }
        let told = |changes: &[Change]| {
            let mut map = Map::default();
            changes.iter().for_each(|change| { map.take(Nanos(1), change, Told::List); });
            by_key(&map)
        };
        let first = told(&changes);
        let mut order: Vec<(u32, Change)> = by.into_iter().zip(changes).collect();
        order.sort_by_key(|(by, _)| *by);
        let changes: Vec<Change> = order.into_iter().map(|(_, change)| change).collect();
        prop_assert_eq!(told(&changes), first);
    }

    /// Guards rule 5: the pieces of a span are the span, each key once, whatever the map holds of it.
    #[test]
    fn pieces_cover_a_span_just_once(
        changes in prop::collection::vec(any_change(), 0..30),
        one in 0..KEYS,
        other in 0..KEYS,
    ) {
        let mut map = Map::default();
        changes.iter().for_each(|change| { map.take(Nanos(1), change, Told::List); });
        let asked = span(one.min(other), one.max(other));
        let pieces = map.pieces(asked);
        let spans: Vec<Span> = pieces.iter().map(|piece| piece.span).collect();
        prop_assert_eq!(cover(&[asked], &spans), Cover::Once);
        let shares: f64 = spans.iter().map(|piece| asked.share(piece)).sum();
        prop_assert!((shares - 1.0).abs() < 1e-9);
    }

    /// Guards a restart: what is written is read the same, and cut off anywhere it is refused.
    #[test]
    fn a_snapshot_is_read_as_it_was_written_or_not_at_all(
        changes in prop::collection::vec(any_change(), 0..20),
        cut in any::<prop::sample::Index>(),
        flip in any::<(prop::sample::Index, u8)>(),
    ) {
        let mut map = Map::default();
        changes.iter().for_each(|change| { map.take(Nanos(1), change, Told::List); });
        let bytes = snapshot::write(&map);
        prop_assert_eq!(by_key(&snapshot::read(&bytes, Nanos(2)).unwrap()), by_key(&map));
        let cut = cut.index(bytes.len());
        let refused = snapshot::read(&bytes[..cut], Nanos(2));
        prop_assert!(matches!(refused, Err(Refused::CutOff { .. })), "{:?} at {}", refused.err(), cut);
        let mut wrong = bytes.clone();
        let at = flip.0.index(wrong.len());
        wrong[at] ^= flip.1.max(1);
        prop_assert!(snapshot::read(&wrong, Nanos(2)).is_err());
    }
}

#[test]
fn a_snapshot_of_a_newer_version_or_with_more_behind_it_is_refused() {
    let mut map = Map::default();
    map.take(Nanos(1), &change(0, 9, 3, &[1]), Told::Owner);
    let bytes = snapshot::write(&map);
    let mut newer = bytes.clone();
    newer[8] = 2;
    assert_eq!(snapshot::read(&newer, Nanos(2)).unwrap_err().to_string(), "version 2 is newer than 1");
    assert_eq!(snapshot::read(&[&bytes[..], b"x"].concat(), Nanos(2)).unwrap_err(), Refused::Checksum);
    assert_eq!(snapshot::read(b"{\"not\":\"one\"}", Nanos(2)).unwrap_err(), Refused::NotOne);
}

#[test]
fn what_was_kept_over_a_restart_gives_way_within_its_epoch() {
    let mut map = Map::default();
    map.take(Nanos(1), &change(0, 9, 3, &[1]), Told::Owner);
    let mut map = snapshot::read(&snapshot::write(&map), Nanos(2)).unwrap();
    let taken = map.take(Nanos(3), &change(0, 9, 3, &[2]), Told::List);
    assert_eq!((taken.changed, taken.against), (1, 1));
    let taken = map.take(Nanos(4), &change(0, 9, 3, &[3]), Told::Owner);
    assert_eq!((taken.changed, taken.against), (1, 1), "the owner has the last word");
    let taken = map.take(Nanos(5), &change(0, 9, 3, &[2]), Told::List);
    assert_eq!((taken.changed, taken.against), (0, 1), "and keeps it against the list");
    let taken = map.take(Nanos(6), &change(0, 9, 2, &[9]), Told::Owner);
    assert_eq!((taken.changed, taken.older), (0, 1), "an older epoch teaches nothing");
}

#[test]
fn while_a_move_is_under_way_both_sides_are_asked_and_the_new_one_is_cold() {
    let mut map = Map::default();
    let asked = |map: &Map| map.pieces(span(0, 9))[0].ask.clone();
    for (stage, asks) in [(Stage::Prepared, nodes(&[1])), (Stage::Moving, nodes(&[1, 2]))] {
        map.take(Nanos(1), &moving(0, 9, 4, &[1], &[2], stage), Told::List);
        assert_eq!(asked(&map), asks);
        assert!(map.at(3).unwrap().1.is_new_to(NodeId(2)) && !map.at(3).unwrap().1.is_new_to(NodeId(1)));
    }
    // A stage told late changes nothing; a move that is given up leaves its owners.
    map.take(Nanos(2), &moving(0, 9, 4, &[1], &[2], Stage::Prepared), Told::List);
    assert_eq!(asked(&map), nodes(&[1, 2]));
    map.take(Nanos(3), &moving(0, 9, 4, &[1], &[2], Stage::GivenUp), Told::List);
    assert_eq!(asked(&map), nodes(&[1]));
    assert!(!map.at(3).unwrap().1.is_new_to(NodeId(2)));
    map.take(Nanos(4), &moving(0, 9, 5, &[2], &[2], Stage::Done), Told::List);
    assert_eq!(asked(&map), nodes(&[2]));
}

#[test]
fn a_merge_of_which_one_half_has_two_owners_and_the_other_none() {
    let mut map = Map::default();
    map.take(Nanos(1), &change(0, 4, 3, &[1]), Told::List);
    map.take(Nanos(1), &change(0, 4, 4, &[2]), Told::Owner);
    map.take(Nanos(1), &change(5, 9, 4, &[]), Told::Owner);
    let pieces = map.pieces(span(0, 9));
    assert_eq!((pieces[0].epoch, &pieces[0].ask), (Some(Epoch(4)), &nodes(&[2])), "the higher epoch alone");
    assert!(pieces[1].ask.is_empty());
    assert_eq!(Route::new(span(0, 9), 3).first(&map), Hop::NoOwner);
    assert_eq!(Route::new(span(0, 4), 3).first(&map), Hop::On(vec![(span(0, 4), vec![NodeId(2)])]));
}

#[test]
fn a_thousand_changes_in_one_list_leave_as_many_spans_as_they_say() {
    let mut map = Map::default();
    for index in 0..1000u64 {
        map.take(Nanos(1), &change(index * 10, index * 10 + 9, 1, &[(index % 7) as u32]), Told::List);
    }
    assert_eq!(map.len(), 1000);
    // One owner for all: they join again.
    map.take(Nanos(2), &change(0, 9999, 2, &[1]), Told::List);
    assert_eq!(map.len(), 1);
    assert_eq!(map.age(Nanos(10), span(0, 9999)), Some(Nanos(8)));
    assert_eq!(map.age(Nanos(10), span(0, 10_000)), None, "a key that nobody is known to own");
}

/// A part asks node 1 first; each node tells what it knows as `(epoch, owners)`.
fn walk(tells: &[(u32, u64, &[u32])], most: u32) -> (u32, Hop) {
    let mut map = Map::default();
    map.take(Nanos(1), &change(0, 9, 1, &[1]), Told::List);
    let mut route = Route::new(span(0, 9), most);
    let mut hop = route.first(&map);
    for _ in 0..100 {
        let Hop::On(on) = &hop else { break };
        let at = on[0].1[0];
        let Some((_, epoch, owners)) = tells.iter().find(|(node, _, _)| *node == at.0) else { break };
        let told = change(0, 9, *epoch, owners);
        map.moved(Nanos(2), std::slice::from_ref(&told));
        hop = route.sent_away(&map, at, std::slice::from_ref(&told));
    }
    (route.hops(), hop)
}

#[test_case(&[], 0, Hop::On(vec![(span(0, 9), vec![NodeId(1)])]); "the owner answers")]
#[test_case(&[(1, 2, &[2])], 1, Hop::On(vec![(span(0, 9), vec![NodeId(2)])]); "moved once")]
#[test_case(
    &[(1, 2, &[2]), (2, 3, &[3]), (3, 4, &[4])], 3, Hop::On(vec![(span(0, 9), vec![NodeId(4)])]);
    "three moves while a part is out"
)]
#[test_case(&[(1, 2, &[2]), (2, 2, &[1])], 2, Hop::NoOwner; "two that point at each other")]
#[test_case(&[(1, 1, &[2])], 1, Hop::On(vec![(span(0, 9), vec![NodeId(2)])]); "the owner's word within an epoch")]
#[test_case(&[(1, 1, &[1])], 1, Hop::NoOwner; "one that sends on to itself")]
#[test_case(&[(1, 0, &[2])], 1, Hop::NoOwner; "one that sends away what it owns, of an older epoch")]
#[test_case(
    &[(1, 2, &[2]), (2, 3, &[3]), (3, 4, &[4]), (4, 5, &[5]), (5, 6, &[6])], 5, Hop::TooFar;
    "a chain past the most hops"
)]
fn a_part_ends_at_an_owner_or_in_a_clean_refusal(tells: &[(u32, u64, &[u32])], hops: u32, ends: Hop) {
    assert_eq!(walk(tells, 4), (hops, ends));
}

#[test]
fn a_part_that_is_split_on_its_way_goes_on_as_two() {
    let mut map = Map::default();
    map.take(Nanos(1), &change(0, 9, 1, &[1]), Told::List);
    let mut route = Route::new(span(0, 9), 3);
    // The old owner keeps one half and says who has the other.
    let told = [change(0, 4, 2, &[1]), change(5, 9, 2, &[3])];
    map.moved(Nanos(2), &told);
    let hop = route.sent_away(&map, NodeId(1), &told);
    let on = vec![(span(0, 4), vec![NodeId(1)]), (span(5, 9), vec![NodeId(3)])];
    assert_eq!(hop, Hop::On(on));
    let half = route.split(span(5, 9));
    assert_eq!((half.hops(), half.span), (1, span(5, 9)));
}
