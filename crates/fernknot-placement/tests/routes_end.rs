//! A part's route ends at an owner or in a rejection without execution, whatever nodes report.

mod common;

use common::{change, range};
use fernknot::interface::{Nanos, NodeId};
use fernknot_placement::*;
use test_case::test_case;

/// Report of a redirecting node about all keys: node, epoch, owners.
type Report<'a> = (u32, u64, &'a [u32]);

fn forward_to(first: u64, last: u64, node: u32) -> ForwardTarget {
    ForwardTarget { range: range(first, last), nodes: vec![NodeId(node)] }
}

fn forwarded_to(node: u32) -> NextHop {
    NextHop::Forward(vec![forward_to(0, 9, node)])
}

/// Follows a part from node 1 along the reported redirects; returns the number of redirects and the last step.
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
        hop = route.record_redirect(&map, node, &reported);
    }
    (route.hops(), hop)
}

#[test_case(&[], 0, forwarded_to(1); "the owner answers")]
#[test_case(&[(1, 2, &[2])], 1, forwarded_to(2); "moved once")]
#[test_case(&[(1, 2, &[2]), (2, 3, &[3]), (3, 4, &[4])], 3, forwarded_to(4); "three migrations while a part is in flight")]
#[test_case(&[(1, 2, &[2]), (2, 2, &[1])], 2, NextHop::NoOwner; "two that redirect to each other")]
#[test_case(&[(1, 1, &[2])], 1, forwarded_to(2); "the owner overrides the list within an epoch")]
#[test_case(&[(1, 1, &[1])], 1, NextHop::NoOwner; "one that redirects to itself")]
#[test_case(&[(1, 0, &[2])], 1, NextHop::NoOwner; "one that redirects what it owns, at an older epoch")]
#[test_case(
    &[(1, 2, &[2]), (2, 3, &[3]), (3, 4, &[4]), (4, 5, &[5]), (5, 6, &[6])], 5, NextHop::HopLimit;
    "a chain longer than the hop limit"
)]
fn a_part_ends_at_an_owner_or_is_rejected_unexecuted(reports: &[Report], hops: u32, end: NextHop) {
    assert_eq!(follow_redirects(reports, 4), (hops, end));
}

#[test]
fn a_part_split_in_flight_continues_as_two_parts() {
    let mut map = PlacementMap::default();
    map.apply(Nanos(1), &change(0, 9, 1, &[1]), Source::EndpointList);
    let mut route = PartRoute::new(range(0, 9), 3);
    // The old owner keeps the lower half and reports the owner of the upper half.
    let reported = [change(0, 4, 2, &[1]), change(5, 9, 2, &[3])];
    map.apply_redirect(Nanos(2), &reported);
    let hop = route.record_redirect(&map, NodeId(1), &reported);
    assert_eq!(hop, NextHop::Forward(vec![forward_to(0, 4, 1), forward_to(5, 9, 3)]));
    let half = route.split_off(range(5, 9));
    assert_eq!((half.hops(), half.range()), (1, range(5, 9)));
}
