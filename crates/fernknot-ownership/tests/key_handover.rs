//! A key that moves is served by its previous owner until the new owner serves it, or until a time-out.

mod common;

use assert_matches::assert_matches;
use common::{assignment, at, gateway, owned_keys};
use fernknot_ownership::{Action, ApplyOutcome, Assignment, IncarnationId, OwnedKeys, OwnershipState};

fn actions(owned_keys: &mut OwnedKeys, heartbeats: f64) -> Vec<Action> {
    std::iter::from_fn(|| owned_keys.poll_action(at(heartbeats))).collect()
}

/// Returns a key that the assignment gives to this incarnation.
fn key_of(assignment: &Assignment, incarnation: u64) -> String {
    let keys = (0..10_000).map(|number| format!("service-{number}"));
    let mut keys = keys.filter(|key| {
        assignment.owner(None, key).map(|owner| owner.incarnation) == Some(IncarnationId(incarnation))
    });
    keys.next().expect("one of many keys is owned by it")
}

#[test]
fn given_a_moved_key_when_the_new_owner_serves_it_then_the_previous_one_stops_but_not_before() {
    let (first, second) = (assignment(1, 1, [1]), assignment(1, 2, [1, 2]));
    let key = key_of(&second, 2);
    let (mut old, mut new) = (owned_keys(1), owned_keys(2));
    for owned_keys in [&mut old, &mut new] {
        owned_keys.watch_keys([key.as_str()]);
        assert_eq!(owned_keys.apply(at(0.0), first.clone()), ApplyOutcome::Applied);
    }
    assert_eq!(
        actions(&mut old, 0.0),
        [Action::Acquire { key: key.clone(), fencing_token: first.fencing_token, previous_owner: None }]
    );
    old.key_acquired(&key);
    assert_eq!(actions(&mut new, 0.0), []);

    old.apply(at(1.0), second.clone());
    new.apply(at(1.0), second.clone());
    assert_eq!(old.apply(at(1.0), first.clone()), ApplyOutcome::Stale);
    assert!(!old.accepts(first.fencing_token) && old.accepts(second.fencing_token));
    assert_matches!(old.ownership_state(at(1.0), &key), OwnershipState::HandingOver { to, .. } if to.incarnation == IncarnationId(2));
    assert_eq!(actions(&mut old, 1.0), []);
    let from = Some(gateway(1));
    assert_eq!(
        actions(&mut new, 1.0),
        [Action::Acquire { key: key.clone(), fencing_token: second.fencing_token, previous_owner: from }]
    );
    new.key_acquired(&key);
    let notification =
        Action::NotifyPreviousOwner { to: gateway(1), key: key.clone(), fencing_token: second.fencing_token };
    assert_eq!(actions(&mut new, 1.0), [notification]);
    old.handover_acknowledged(IncarnationId(2), &key, first.fencing_token);
    assert!(old.serves(at(1.5), &key), "a message under an older fencing token is rejected");
    old.handover_acknowledged(IncarnationId(2), &key, second.fencing_token);
    assert_eq!(
        actions(&mut old, 1.5),
        [Action::Release { key: key.clone(), fencing_token: second.fencing_token }]
    );
    assert!(!old.serves(at(1.5), &key));
}

#[test]
fn given_a_moved_key_when_the_new_owner_does_not_respond_then_the_previous_one_stops_after_a_timeout() {
    let second = assignment(1, 2, [1, 2]);
    let key = key_of(&second, 2);
    let mut old = owned_keys(1);
    old.watch_keys([key.as_str()]);
    old.apply(at(0.0), assignment(1, 1, [1]));
    actions(&mut old, 0.0);
    old.apply(at(1.0), second);
    assert_eq!(actions(&mut old, 1.0), []);
    assert_eq!(old.wakes_at(), Some(at(3.0)));
    assert!(old.serves(at(2.9), &key) && !old.serves(at(3.0), &key));
    assert_matches!(&actions(&mut old, 3.0)[..], [Action::Release { .. }]);
    old.apply(at(4.0), assignment(1, 3, [1]));
    assert_matches!(&actions(&mut old, 4.0)[..], [Action::Acquire { previous_owner: Some(_), .. }]);
}

#[test]
fn given_an_unreleased_key_when_it_is_assigned_back_then_the_other_owner_is_notified_at_once() {
    let second = assignment(1, 2, [1, 2]);
    let key = key_of(&second, 2);
    let mut old = owned_keys(1);
    old.watch_keys([key.as_str()]);
    old.apply(at(0.0), assignment(1, 1, [1]));
    actions(&mut old, 0.0);
    old.apply(at(1.0), second);
    actions(&mut old, 1.0);
    old.apply(at(1.5), assignment(1, 3, [1]));
    assert_matches!(&actions(&mut old, 1.5)[..], [Action::NotifyPreviousOwner { to, .. }] if to.incarnation == IncarnationId(2));
    old.watch_keys([]);
    assert_matches!(&actions(&mut old, 1.5)[..], [Action::Release { .. }]);
}
