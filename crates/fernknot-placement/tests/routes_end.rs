//! A part's route ends at an owner or in a clean rejection, whatever nodes report.

mod common;

use common::{change, range};
use fernknot::interface::{Nanos, NodeId};
use fernknot_placement::*;
use test_case::test_case;

/// What a node reports as the owners of all keys when it redirects a part: node, epoch, owners.
type Report<'a> = (u32, u64, &'a [u32]);

fn forward_to(first: u64, last: u64, node: u32) -> ForwardTarget {
    ForwardTarget { range: range(first, last), nodes: vec![NodeId(node)] }
}

fn ends_at(node: u32) -> NextHop {
    NextHop::Forward(vec![forward_to(0, 9, node)])
}

/// A part goes to node 1 first, and then wherever nodes redirect it. Its hops, and where it ends.
fn follow_redirects(reports: &[Report], max_hops: u32) -> (u32, NextHop) {
    let mut map = PlacementMap::default();
    map.apply(Nanos(1), &change(0, 9, 1, &[1]), Source::EndpointList);
    let mut route = PartRoute::new(range(0, 9), max_hops);
    let mut hop = route.first_hop(&map);
    for _ in 0..100 {
        let NextHop::Forward(targets) = &hop else { break };
        let node = targets[0].nodes[0];
        let Some((_, epoch, owners)) = reports.iter().find(|(by, _, _)| *by == node.0) else { break };
        let reported = [change(0, 9, *epoch, owners)];
        map.apply_redirect(Nanos(2), &reported);
        hop = route.redirected(&map, node, &reported);
    }
    (route.hops(), hop)
}

#[test_case(&[], 0, ends_at(1); "the owner answers")]
#[test_case(&[(1, 2, &[2])], 1, ends_at(2); "moved once")]
#[test_case(&[(1, 2, &[2]), (2, 3, &[3]), (3, 4, &[4])], 3, ends_at(4); "three migrations while a part is in flight")]
#[test_case(&[(1, 2, &[2]), (2, 2, &[1])], 2, NextHop::NoOwner; "two that redirect to each other")]
#[test_case(&[(1, 1, &[2])], 1, ends_at(2); "the owner overrides the list within an epoch")]
#[test_case(&[(1, 1, &[1])], 1, NextHop::NoOwner; "one that redirects to itself")]
#[test_case(&[(1, 0, &[2])], 1, NextHop::NoOwner; "one that redirects what it owns, at an older epoch")]
#[test_case(
    &[(1, 2, &[2]), (2, 3, &[3]), (3, 4, &[4]), (4, 5, &[5]), (5, 6, &[6])], 5, NextHop::HopLimit;
    "a chain longer than the hop limit"
)]
fn a_part_ends_at_an_owner_or_in_a_clean_rejection(reports: &[Report], hops: u32, end: NextHop) {
    assert_eq!(follow_redirects(reports, 4), (hops, end));
}

#[test]
fn a_part_that_is_split_in_flight_goes_on_as_two() {
    let mut map = PlacementMap::default();
    map.apply(Nanos(1), &change(0, 9, 1, &[1]), Source::EndpointList);
    let mut route = PartRoute::new(range(0, 9), 3);
    // The old owner keeps one half and reports the owner of the other.
    let reported = [change(0, 4, 2, &[1]), change(5, 9, 2, &[3])];
    map.apply_redirect(Nanos(2), &reported);
    let hop = route.redirected(&map, NodeId(1), &reported);
    assert_eq!(hop, NextHop::Forward(vec![forward_to(0, 4, 1), forward_to(5, 9, 3)]));
    let half = route.split_off(range(5, 9));
    assert_eq!((half.hops(), half.range()), (1, range(5, 9)));
}
