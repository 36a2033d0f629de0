//! The same updates lead to the same view.

mod common;

use common::{advance_time, message, start_router, update};
use fernknot::interface::Nanos;
use fernknot_membership::*;
use proptest::prelude::*;

fn status() -> impl Strategy<Value = Status> {
    prop_oneof![
        Just(Status::Alive),
        (0u8..3).prop_map(|round| Status::Suspected { round }),
        Just(Status::Failed),
        Just(Status::Left)
    ]
}

fn receive_update(
    router: &mut MembershipProtocol,
    (member, incarnation, status, reporter): (u32, u64, Status, u32),
) {
    let updates = vec![update(member, incarnation, status, reporter)];
    let bytes = message(4, 1, MessageBody::Gossip, updates);
    router.receive(Nanos(1), Some(RouterId(4)), &bytes).unwrap();
}

/// Returns the view of members 1 to 3 after all suspicions have timed out, as a reported failure is only a suspicion
/// until then.
fn settled_view(router: &mut MembershipProtocol) -> Vec<(RouterId, Incarnation, bool, bool)> {
    let mut now = Nanos(0);
    for _ in 0..450 {
        let bytes = message(4, 1, MessageBody::Gossip, Vec::new());
        now = advance_time(router, now, 1).0;
        router.receive(now, Some(RouterId(4)), &bytes).unwrap();
    }
    let members = router.members().filter(|member| (1..4).contains(&member.id.0));
    let summary = |member: &Member| {
        let has_left = member.state.status == Status::Left;
        (member.id, member.state.incarnation, member.state.is_live(), has_left)
    };
    members.map(summary).collect()
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]
    /// The same updates, in any order and repeated, must lead to the same view.
    #[test]
    fn updates_in_any_order_and_repetition_converge_to_one_view(
        updates in prop::collection::vec((1u32..4, 1u64..4, status(), 1u32..4), 1..12),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..24),
    ) {
        let (mut one, mut other) = (start_router(0, 6), start_router(0, 6));
        updates.iter().for_each(|update| receive_update(&mut one, *update));
        order.iter().for_each(|index| receive_update(&mut other, *index.get(&updates)));
        updates.iter().rev().for_each(|update| receive_update(&mut other, *update));
        prop_assert_eq!(settled_view(&mut one), settled_view(&mut other));
    }
}
