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
    std::iter::from_fn(|| holder.next(at(beats))).collect()
}

/// A key that the cut gives to this life.
fn key_of(cut: &Assignment, life: u64) -> String {
    let keys = (0..10_000).map(|number| format!("service-{number}"));
    let mut keys =
        keys.filter(|key| cut.owner(None, key).map(|owner| owner.life) == Some(IncarnationId(life)));
    keys.next().expect("one of many keys is its own")
}

#[test]
fn given_many_keys_when_cut_over_the_live_then_each_has_about_its_share() {
    let cut = cut(1, 1, 0..9);
    let mut counts = [0; 9];
    for number in 0..9_000 {
        counts[cut.owner(None, &format!("k{number}")).unwrap().life.0 as usize] += 1;
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
            keeper.alive(now, gateway(life));
        });
        assert_eq!(keeper.clone().recut(now, 1, false), None, "only the sequencer cuts");
        cuts.extend(keeper.recut(now, 1, true));
    }
    assert_matches!(&cuts[..], [cut] if cut.live.len() == 200 && cut.may_be_alive == 200);
}

#[test]
fn given_a_silent_gateway_when_beats_are_missed_then_it_holds_nothing_but_is_still_counted() {
    let mut keeper = keeper();
    let mut cuts: Vec<Assignment> = Vec::new();
    for half in 0..60 {
        let now = at(half as f64 / 2.0);
        keeper.alive(now, gateway(1));
        if half < 10 {
            keeper.alive(now, gateway(2));
        }
        cuts.extend(keeper.recut(now, 1, true));
    }
    let seen: Vec<_> = cuts.iter().map(|cut| (cut.fence.count(), cut.live.len(), cut.may_be_alive)).collect();
    assert_eq!(seen, [(1, 2, 2), (2, 1, 2), (3, 1, 1)]);
}

#[test]
fn given_a_new_sequencer_when_it_restarted_empty_then_it_listens_first_and_its_fence_is_higher() {
    let mut old = keeper();
    (0..5).for_each(|life| assert!(old.alive(at(0.0), gateway(life))));
    old.recut(at(0.0), 3, true);
    let before = old.recut(at(2.5), 3, true).unwrap();
    let mut new = keeper();
    new.learn(at(2.5), &before);
    new.left(at(2.6), IncarnationId(4));
    assert_eq!(new.recut(at(3.0), 4, true), None);
    let after = new.recut(at(5.1), 4, true).unwrap();
    assert!(after.fence > before.fence);
    assert_eq!((after.live.len(), after.may_be_alive), (4, 5), "never fewer than counted lately");
    assert!(!new.alive(at(5.2), gateway(4)), "a beat on its way doesn't bring back who left");
    assert_eq!(new.recut(at(9.0), 3, true), None, "the view has moved on");
}

#[test]
fn given_a_registrar_that_was_frozen_when_it_wakes_then_it_takes_nobody_for_lost() {
    let mut keeper = keeper();
    (0..5).for_each(|life| assert!(keeper.alive(at(0.0), gateway(life))));
    keeper.recut(at(0.0), 1, true);
    keeper.recut(at(2.1), 1, true).unwrap();
    keeper.was_away(at(15.0));
    assert_eq!(keeper.recut(at(17.5), 1, true), None);
}

#[test]
fn given_a_moved_key_when_the_new_holder_has_it_then_the_old_one_stops_and_not_before() {
    let (first, second) = (cut(1, 1, [1]), cut(1, 2, [1, 2]));
    let key = key_of(&second, 2);
    let (mut old, mut new) = (holder(1), holder(2));
    for holder in [&mut old, &mut new] {
        holder.watch([key.as_str()]);
        assert_eq!(holder.take(at(0.0), first.clone()), ApplyOutcome::Newer);
    }
    assert_eq!(orders(&mut old, 0.0), [Action::Start { key: key.clone(), fence: first.fence, from: None }]);
    old.started(&key);
    assert_eq!(orders(&mut new, 0.0), []);

    old.take(at(1.0), second.clone());
    new.take(at(1.0), second.clone());
    assert_eq!(old.take(at(1.0), first.clone()), ApplyOutcome::Older);
    assert!(!old.allows(first.fence) && old.allows(second.fence));
    assert_matches!(old.standing(at(1.0), &key), OwnershipState::Handing { to, .. } if to.life == IncarnationId(2));
    assert_eq!(orders(&mut old, 1.0), []);
    let from = Some(gateway(1));
    assert_eq!(orders(&mut new, 1.0), [Action::Start { key: key.clone(), fence: second.fence, from }]);
    new.started(&key);
    let said = Action::SayTaken { to: gateway(1), key: key.clone(), fence: second.fence };
    assert_eq!(orders(&mut new, 1.0), [said]);
    old.taken_over(IncarnationId(2), &key, first.fence);
    assert!(old.serves(at(1.5), &key), "a word under an older fence is refused");
    old.taken_over(IncarnationId(2), &key, second.fence);
    assert_eq!(orders(&mut old, 1.5), [Action::Stop { key: key.clone(), fence: second.fence }]);
    assert!(!old.serves(at(1.5), &key));
}

#[test]
fn given_a_moved_key_when_the_new_holder_stays_silent_then_the_old_one_stops_after_a_bounded_while() {
    let second = cut(1, 2, [1, 2]);
    let key = key_of(&second, 2);
    let mut old = holder(1);
    old.watch([key.as_str()]);
    old.take(at(0.0), cut(1, 1, [1]));
    orders(&mut old, 0.0);
    old.take(at(1.0), second);
    assert_eq!(orders(&mut old, 1.0), []);
    assert_eq!(old.wakes_at(), Some(at(3.0)));
    assert!(old.serves(at(2.9), &key) && !old.serves(at(3.0), &key));
    assert_matches!(&orders(&mut old, 3.0)[..], [Action::Stop { .. }]);
    old.take(at(4.0), cut(1, 3, [1]));
    assert_matches!(&orders(&mut old, 4.0)[..], [Action::Start { from: Some(_), .. }]);
}

#[test]
fn given_a_key_that_comes_back_before_it_was_put_down_then_the_other_is_told_at_once() {
    let second = cut(1, 2, [1, 2]);
    let key = key_of(&second, 2);
    let mut old = holder(1);
    old.watch([key.as_str()]);
    old.take(at(0.0), cut(1, 1, [1]));
    orders(&mut old, 0.0);
    old.take(at(1.0), second);
    orders(&mut old, 1.0);
    old.take(at(1.5), cut(1, 3, [1]));
    assert_matches!(&orders(&mut old, 1.5)[..], [Action::SayTaken { to, .. }] if to.life == IncarnationId(2));
    old.watch([]);
    assert_matches!(&orders(&mut old, 1.5)[..], [Action::Stop { .. }]);
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
            prop_assert!(before.life == IncarnationId(gone) || before == after);
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
        prop_assert_eq!(old.changed_by(&change), Some(new.clone()));
        prop_assert_eq!(new.changed_by(&change), None);
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
                holders[which].leave();
                keeper.left(at(tick as f64), holders[which].me());
            }
            if links[which] == Link::Dead && change != Link::Dead {
                holders[which] = holder(lives);
                lives += 1;
            }
            links[which] = change;
            if tick % 50 == 49 {
                let last = keeper.last().clone();
                keeper = common::keeper();
                keeper.learn(at(tick as f64), &last);
                view += 1;
            }
            for part in 0..4 {
                let now = at(tick as f64 + part as f64 / 4.0);
                for (index, link) in links.iter().enumerate() {
                    if matches!(link, Link::Up | Link::Deaf) {
                        keeper.alive(now, gateway(holders[index].me().0));
                    }
                }
                keeper.recut(now, view, true);
                let cut = keeper.last().clone();
                for (index, link) in links.iter().enumerate() {
                    if matches!(link, Link::Up | Link::Mute) {
                        holders[index].take(now, cut.clone());
                        holders[index].confirm(now, cut.fence);
                    }
                }
                let taking = holders.iter().zip(&links).filter(|(_, link)| **link != Link::Dead);
                let shares: Vec<(IncarnationId, f64)> = taking
                    .filter_map(|(holder, _)| Some((holder.me(), 1.0 / holder.shared_by(now)? as f64)))
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
    assert!(FencingToken::of(2, 1) > FencingToken::of(1, u32::MAX));
    assert_eq!((FencingToken::of(7, 9).view(), FencingToken::of(7, 9).count()), (7, 9));
}
