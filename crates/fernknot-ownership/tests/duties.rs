//! Whose a key is, who makes the cuts, and how a key changes hands.

mod common;

use assert_matches::assert_matches;
use common::{WINDOW, at, cut, gateway, holder, keeper};
use fernknot::interface::Nanos;
use fernknot_ownership::{
    Action, ApplyOutcome, Assignment, AssignmentChange, FencingToken, IncarnationId, OwnedKeys,
    OwnershipState,
};
use proptest::prelude::*;

fn orders(holder: &mut OwnedKeys, beats: f64) -> Vec<Action> {
    std::iter::from_fn(|| holder.poll_action(at(beats))).collect()
}

/// A key that the cut gives to this life.
fn key_of(cut: &Assignment, life: u64) -> String {
    let keys = (0..10_000).map(|number| format!("service-{number}"));
    let mut keys =
        keys.filter(|key| cut.owner(None, key).map(|owner| owner.incarnation) == Some(IncarnationId(life)));
    keys.next().expect("one of many keys is its own")
}

#[test]
fn given_many_keys_when_cut_over_the_live_then_each_has_about_its_share() {
    let cut = cut(1, 1, 0..9);
    let mut counts = [0; 9];
    for number in 0..9_000 {
        counts[cut.owner(None, &format!("k{number}")).unwrap().incarnation.0 as usize] += 1;
    }
    assert!(counts.iter().all(|count| (850..1150).contains(count)), "{counts:?}");
    assert_eq!(cut.owner(Some("south"), "k1").unwrap().zone, "south");
    assert_eq!(cut.owner(Some("nowhere"), "k1"), None);
}

#[test]
fn given_a_herd_of_starts_when_the_sequencer_cuts_then_one_cut_names_all() {
    let mut keeper = keeper();
    let mut cuts = Vec::new();
    for tenth in 0..40 {
        let now = at(tenth as f64 / 10.0);
        (0..200).filter(|life| life % 10 == tenth % 10).for_each(|life| {
            keeper.record_heartbeat(now, gateway(life));
        });
        assert_eq!(keeper.clone().reassign(now, 1, false), None, "only the sequencer cuts");
        cuts.extend(keeper.reassign(now, 1, true));
    }
    assert_matches!(&cuts[..], [cut] if cut.gateways.len() == 200 && cut.presumed_alive == 200);
}

#[test]
fn given_a_silent_gateway_when_beats_are_missed_then_it_holds_nothing_but_is_still_counted() {
    let mut keeper = keeper();
    let mut cuts: Vec<Assignment> = Vec::new();
    for half in 0..60 {
        let now = at(half as f64 / 2.0);
        keeper.record_heartbeat(now, gateway(1));
        if half < 10 {
            keeper.record_heartbeat(now, gateway(2));
        }
        cuts.extend(keeper.reassign(now, 1, true));
    }
    let seen: Vec<_> =
        cuts.iter().map(|cut| (cut.fencing_token.count(), cut.gateways.len(), cut.presumed_alive)).collect();
    assert_eq!(seen, [(1, 2, 2), (2, 1, 2), (3, 1, 1)]);
}

#[test]
fn given_a_new_sequencer_when_it_restarted_empty_then_it_listens_first_and_its_fence_is_higher() {
    let mut old = keeper();
    (0..5).for_each(|life| assert!(old.record_heartbeat(at(0.0), gateway(life))));
    old.reassign(at(0.0), 3, true);
    let before = old.reassign(at(2.5), 3, true).unwrap();
    let mut new = keeper();
    new.learn_assignment(at(2.5), &before);
    new.record_shutdown(at(2.6), IncarnationId(4));
    assert_eq!(new.reassign(at(3.0), 4, true), None);
    let after = new.reassign(at(5.1), 4, true).unwrap();
    assert!(after.fencing_token > before.fencing_token);
    assert_eq!((after.gateways.len(), after.presumed_alive), (4, 5), "never fewer than counted lately");
    assert!(!new.record_heartbeat(at(5.2), gateway(4)), "a beat on its way doesn't bring back who left");
    assert_eq!(new.reassign(at(9.0), 3, true), None, "the view has moved on");
}

#[test]
fn given_a_controller_that_was_frozen_when_it_wakes_then_it_takes_nobody_for_lost() {
    let mut keeper = keeper();
    (0..5).for_each(|life| assert!(keeper.record_heartbeat(at(0.0), gateway(life))));
    keeper.reassign(at(0.0), 1, true);
    keeper.reassign(at(2.1), 1, true).unwrap();
    keeper.reset_liveness(at(15.0));
    assert_eq!(keeper.reassign(at(17.5), 1, true), None);
}

#[test]
fn given_a_moved_key_when_the_new_holder_has_it_then_the_old_one_stops_and_not_before() {
    let (first, second) = (cut(1, 1, [1]), cut(1, 2, [1, 2]));
    let key = key_of(&second, 2);
    let (mut old, mut new) = (holder(1), holder(2));
    for holder in [&mut old, &mut new] {
        holder.watch_keys([key.as_str()]);
        assert_eq!(holder.apply(at(0.0), first.clone()), ApplyOutcome::Applied);
    }
    assert_eq!(
        orders(&mut old, 0.0),
        [Action::Acquire { key: key.clone(), fencing_token: first.fencing_token, previous_owner: None }]
    );
    old.key_acquired(&key);
    assert_eq!(orders(&mut new, 0.0), []);

    old.apply(at(1.0), second.clone());
    new.apply(at(1.0), second.clone());
    assert_eq!(old.apply(at(1.0), first.clone()), ApplyOutcome::Stale);
    assert!(!old.accepts(first.fencing_token) && old.accepts(second.fencing_token));
    assert_matches!(old.ownership_state(at(1.0), &key), OwnershipState::HandingOver { to, .. } if to.incarnation == IncarnationId(2));
    assert_eq!(orders(&mut old, 1.0), []);
    let from = Some(gateway(1));
    assert_eq!(
        orders(&mut new, 1.0),
        [Action::Acquire { key: key.clone(), fencing_token: second.fencing_token, previous_owner: from }]
    );
    new.key_acquired(&key);
    let said =
        Action::NotifyPreviousOwner { to: gateway(1), key: key.clone(), fencing_token: second.fencing_token };
    assert_eq!(orders(&mut new, 1.0), [said]);
    old.handover_acknowledged(IncarnationId(2), &key, first.fencing_token);
    assert!(old.serves(at(1.5), &key), "a word under an older fence is refused");
    old.handover_acknowledged(IncarnationId(2), &key, second.fencing_token);
    assert_eq!(
        orders(&mut old, 1.5),
        [Action::Release { key: key.clone(), fencing_token: second.fencing_token }]
    );
    assert!(!old.serves(at(1.5), &key));
}

#[test]
fn given_a_moved_key_when_the_new_holder_stays_silent_then_the_old_one_stops_after_a_bounded_while() {
    let second = cut(1, 2, [1, 2]);
    let key = key_of(&second, 2);
    let mut old = holder(1);
    old.watch_keys([key.as_str()]);
    old.apply(at(0.0), cut(1, 1, [1]));
    orders(&mut old, 0.0);
    old.apply(at(1.0), second);
    assert_eq!(orders(&mut old, 1.0), []);
    assert_eq!(old.wakes_at(), Some(at(3.0)));
    assert!(old.serves(at(2.9), &key) && !old.serves(at(3.0), &key));
    assert_matches!(&orders(&mut old, 3.0)[..], [Action::Release { .. }]);
    old.apply(at(4.0), cut(1, 3, [1]));
    assert_matches!(&orders(&mut old, 4.0)[..], [Action::Acquire { previous_owner: Some(_), .. }]);
}

#[test]
fn given_a_key_that_comes_back_before_it_was_put_down_then_the_other_is_told_at_once() {
    let second = cut(1, 2, [1, 2]);
    let key = key_of(&second, 2);
    let mut old = holder(1);
    old.watch_keys([key.as_str()]);
    old.apply(at(0.0), cut(1, 1, [1]));
    orders(&mut old, 0.0);
    old.apply(at(1.0), second);
    orders(&mut old, 1.0);
    old.apply(at(1.5), cut(1, 3, [1]));
    assert_matches!(&orders(&mut old, 1.5)[..], [Action::NotifyPreviousOwner { to, .. }] if to.incarnation == IncarnationId(2));
    old.watch_keys([]);
    assert_matches!(&orders(&mut old, 1.5)[..], [Action::Release { .. }]);
}

proptest! {
    #[test]
    fn whoever_goes_or_comes_only_its_own_keys_move(
        lives in prop::collection::btree_set(0..500u64, 2..40),
        which in any::<prop::sample::Index>(),
    ) {
        let gone = *which.get(&lives.iter().copied().collect::<Vec<_>>());
        let with = cut(1, 1, lives.iter().copied());
        let without = cut(1, 2, lives.iter().copied().filter(|life| *life != gone));
        for number in 0..50 {
            let key = format!("k{number}");
            let (before, after) = (with.owner(None, &key).unwrap(), without.owner(None, &key).unwrap());
            prop_assert!(before.incarnation == IncarnationId(gone) || before == after);
        }
    }

    #[test]
    fn whatever_the_two_cuts_the_change_between_them_leads_from_one_to_the_other(
        old in prop::collection::btree_set(0..60u64, 0..40),
        new in prop::collection::btree_set(0..60u64, 0..40),
        bytes in prop::collection::vec(any::<u8>(), 0..100),
    ) {
        let (old, new) = (cut(1, 7, old), cut(2, 1, new));
        let change = new.change_since(&old);
        prop_assert_eq!(old.with_change(&change), Some(new.clone()));
        prop_assert_eq!(new.with_change(&change), None);
        prop_assert_eq!(bitcode::decode::<AssignmentChange>(&bitcode::encode(&change)).unwrap(), change);
        let _ = bitcode::decode::<Assignment>(&bytes);
    }

    /// Gateways start, die, leave, are cut off either way and come back; the sequencer restarts. Each spends all that it
    /// may at once: neither their shares at any moment nor what they spent in any window is more than the whole.
    #[test]
    fn whatever_happens_no_more_than_the_whole_is_shared_or_spent(
        events in prop::collection::vec((0..8usize, 0..6u8), 40..160),
    ) {
        #[derive(Clone, Copy, PartialEq)]
        enum Link { Dead, Up, Deaf, Mute, Cut }
        let mut keeper = keeper();
        let mut holders: Vec<OwnedKeys> = (0..8).map(holder).collect();
        let mut links = [Link::Up; 8];
        let (mut lives, mut view) = (8, 1);
        let mut spent: Vec<(Nanos, IncarnationId, f64)> = Vec::new();
        for (tick, (which, what)) in events.into_iter().enumerate() {
            let change = [Link::Dead, Link::Up, Link::Deaf, Link::Mute, Link::Cut, Link::Dead][what as usize];
            if what == 5 && links[which] == Link::Up {
                holders[which].begin_shutdown();
                keeper.record_shutdown(at(tick as f64), holders[which].incarnation());
            }
            if links[which] == Link::Dead && change != Link::Dead {
                holders[which] = holder(lives);
                lives += 1;
            }
            links[which] = change;
            if tick % 50 == 49 {
                let last = keeper.latest().clone();
                keeper = common::keeper();
                keeper.learn_assignment(at(tick as f64), &last);
                view += 1;
            }
            for part in 0..4 {
                let now = at(tick as f64 + part as f64 / 4.0);
                for (index, link) in links.iter().enumerate() {
                    if matches!(link, Link::Up | Link::Deaf) {
                        keeper.record_heartbeat(now, gateway(holders[index].incarnation().0));
                    }
                }
                keeper.reassign(now, view, true);
                let cut = keeper.latest().clone();
                for (index, link) in links.iter().enumerate() {
                    if matches!(link, Link::Up | Link::Mute) {
                        holders[index].apply(now, cut.clone());
                        holders[index].confirm(now, cut.fencing_token);
                    }
                }
                let taking = holders.iter().zip(&links).filter(|(_, link)| **link != Link::Dead);
                let shares: Vec<(IncarnationId, f64)> = taking
                    .filter_map(|(holder, _)| Some((holder.incarnation(), 1.0 / holder.budget_sharers(now)? as f64)))
                    .collect();
                let sum: f64 = shares.iter().map(|(_, share)| share).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "{sum} at {now:?}");
                spent.retain(|(at, ..)| now - *at < WINDOW);
                for (life, share) in shares {
                    let own: f64 = spent.iter().filter(|(_, by, _)| *by == life).map(|(.., much)| much).sum();
                    spent.push((now, life, (share - own).max(0.0)));
                }
                let sum: f64 = spent.iter().map(|(.., much)| much).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "{sum} was spent in the window up to {now:?}");
            }
        }
    }
}

#[test]
fn given_fences_of_views_then_a_later_view_is_above_all_of_an_earlier_one() {
    assert!(FencingToken::new(2, 1) > FencingToken::new(1, u32::MAX));
    assert_eq!((FencingToken::new(7, 9).view(), FencingToken::new(7, 9).count()), (7, 9));
}
