//! The sum of the gateways' shares, and their spending in any window, never exceed the budget.

mod common;

use common::{BUDGET_WINDOW, at, gateway, owned_keys};
use fernknot::interface::Nanos;
use fernknot_ownership::{IncarnationId, OwnedKeys};
use proptest::prelude::*;

proptest! {
    /// Gateways start, crash, shut down, are partitioned in either direction and reconnect, and the leader restarts.
    /// Each gateway spends its entire share at once. Neither the shares at any moment nor the spending in any window
    /// exceed the budget.
    #[test]
    fn given_any_sequence_of_faults_then_shares_and_spending_stay_within_the_budget(
        events in prop::collection::vec((0..8usize, 0..6u8), 40..160),
    ) {
        #[derive(Clone, Copy, PartialEq)]
        enum Link { Down, Up, CannotReceive, CannotSend, Partitioned }
        let mut assigner = common::assigner();
        let mut gateways: Vec<OwnedKeys> = (0..8).map(owned_keys).collect();
        let mut links = [Link::Up; 8];
        let (mut incarnations, mut view) = (8, 1);
        let mut spent: Vec<(Nanos, IncarnationId, f64)> = Vec::new();
        for (tick, (index, event)) in events.into_iter().enumerate() {
            let change = [Link::Down, Link::Up, Link::CannotReceive, Link::CannotSend, Link::Partitioned, Link::Down][event as usize];
            if event == 5 && links[index] == Link::Up {
                gateways[index].begin_shutdown();
                assigner.record_shutdown(at(tick as f64), gateways[index].incarnation());
            }
            if links[index] == Link::Down && change != Link::Down {
                gateways[index] = owned_keys(incarnations);
                incarnations += 1;
            }
            links[index] = change;
            if tick % 50 == 49 {
                let latest = assigner.latest().clone();
                assigner = common::assigner();
                assigner.learn_assignment(at(tick as f64), &latest);
                view += 1;
            }
            for part in 0..4 {
                let now = at(tick as f64 + part as f64 / 4.0);
                for (index, link) in links.iter().enumerate() {
                    if matches!(link, Link::Up | Link::CannotReceive) {
                        assigner.record_heartbeat(now, gateway(gateways[index].incarnation().0));
                    }
                }
                let _ = assigner.reassign(now, view, true);
                let assignment = assigner.latest().clone();
                for (index, link) in links.iter().enumerate() {
                    if matches!(link, Link::Up | Link::CannotSend) {
                        gateways[index].apply(now, assignment.clone());
                        gateways[index].confirm(now, assignment.fencing_token);
                    }
                }
                let up = gateways.iter().zip(&links).filter(|(_, link)| **link != Link::Down);
                let shares: Vec<(IncarnationId, f64)> = up
                    .filter_map(|(owned_keys, _)| Some((owned_keys.incarnation(), 1.0 / owned_keys.budget_sharers(now)? as f64)))
                    .collect();
                let sum: f64 = shares.iter().map(|(_, share)| share).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "shares of {sum} at {now:?}");
                spent.retain(|(at, ..)| now - *at < BUDGET_WINDOW);
                for (incarnation, share) in shares {
                    let own: f64 = spent.iter().filter(|(_, by, _)| *by == incarnation).map(|(.., amount)| amount).sum();
                    spent.push((now, incarnation, (share - own).max(0.0)));
                }
                let sum: f64 = spent.iter().map(|(.., amount)| amount).sum();
                prop_assert!(sum <= 1.0 + 1e-9, "spending of {sum} in the window up to {now:?}");
            }
        }
    }
}
