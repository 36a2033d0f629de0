//! Each key has one owner among the live gateways, and a gateway that leaves or joins moves only its own keys.

mod common;

use common::assignment;
use fernknot_ownership::{Assignment, AssignmentChange, FencingToken, IncarnationId};
use proptest::prelude::*;

#[test]
fn given_many_keys_when_assigned_to_the_live_gateways_then_each_owns_a_similar_number() {
    let assignment = assignment(1, 1, 0..9);
    let mut counts = [0; 9];
    for number in 0..9_000 {
        counts[assignment.owner(None, &format!("k{number}")).unwrap().incarnation.0 as usize] += 1;
    }
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
    assert_eq!(assignment.owner(Some("south"), "k1").unwrap().zone, "south");
    assert_eq!(assignment.owner(Some("nowhere"), "k1"), None);
}

#[test]
fn given_fencing_tokens_of_two_views_when_compared_then_every_token_of_the_later_view_is_higher() {
    assert!(FencingToken::new(2, 1) > FencingToken::new(1, u32::MAX));
    assert_eq!((FencingToken::new(7, 9).view(), FencingToken::new(7, 9).number()), (7, 9));
}

proptest! {
    #[test]
    fn given_any_gateway_when_it_leaves_or_joins_then_only_its_own_keys_move(
        incarnations in prop::collection::btree_set(0..500u64, 2..40),
        which in any::<prop::sample::Index>(),
    ) {
        let removed = *which.get(&incarnations.iter().copied().collect::<Vec<_>>());
        let with = assignment(1, 1, incarnations.iter().copied());
        let without = assignment(1, 2, incarnations.iter().copied().filter(|incarnation| *incarnation != removed));
        for number in 0..50 {
            let key = format!("k{number}");
            let (before, after) = (with.owner(None, &key).unwrap(), without.owner(None, &key).unwrap());
            prop_assert!(before.incarnation == IncarnationId(removed) || before == after);
        }
    }

    #[test]
    fn given_any_two_assignments_when_their_change_is_applied_to_the_older_then_the_newer_results(
        old in prop::collection::btree_set(0..60u64, 0..40),
        new in prop::collection::btree_set(0..60u64, 0..40),
        bytes in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        let (old, new) = (assignment(1, 7, old), assignment(2, 1, new));
        let change = new.change_since(&old);
        prop_assert_eq!(old.with_change(&change), Some(new.clone()));
        prop_assert_eq!(new.with_change(&change), None);
        prop_assert_eq!(bitcode::decode::<AssignmentChange>(&bitcode::encode(&change)).unwrap(), change);
        let _ = bitcode::decode::<Assignment>(&bytes);
    }
}
