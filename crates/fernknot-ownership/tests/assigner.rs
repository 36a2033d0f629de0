//! The leader assigns keys to the gateways whose heartbeats reach any controller.

mod common;

use assert_matches::assert_matches;
use common::{assigner, at, gateway};
use fernknot_ownership::{Assignment, IncarnationId};

#[test]
fn given_many_gateways_that_start_at_once_when_the_leader_assigns_then_one_assignment_lists_them_all() {
    let mut assigner = assigner();
    let mut assignments = Vec::new();
    for tenth in 0..40 {
        let now = at(tenth as f64 / 10.0);
        (0..200).filter(|incarnation| incarnation % 10 == tenth % 10).for_each(|incarnation| {
            assigner.record_heartbeat(now, gateway(incarnation));
        });
        assert_eq!(assigner.clone().reassign(now, 1, false), None, "only the leader assigns");
        assignments.extend(assigner.reassign(now, 1, true));
    }
    assert_matches!(&assignments[..], [assignment] if assignment.gateways.len() == 200 && assignment.presumed_alive == 200);
}

#[test]
fn given_a_gateway_without_heartbeats_when_it_times_out_then_it_owns_no_key_but_is_still_presumed_alive() {
    let mut assigner = assigner();
    let mut assignments: Vec<Assignment> = Vec::new();
    for half in 0..60 {
        let now = at(half as f64 / 2.0);
        assigner.record_heartbeat(now, gateway(1));
        if half < 10 {
            assigner.record_heartbeat(now, gateway(2));
        }
        assignments.extend(assigner.reassign(now, 1, true));
    }
    let observed: Vec<_> = assignments
        .iter()
        .map(|assignment| {
            (assignment.fencing_token.number(), assignment.gateways.len(), assignment.presumed_alive)
        })
        .collect();
    assert_eq!(observed, [(1, 2, 2), (2, 1, 2), (3, 1, 1)]);
}

#[test]
fn given_a_new_leader_without_gateways_when_it_assigns_then_it_waits_for_heartbeats_and_its_token_is_higher()
{
    let mut old = assigner();
    (0..5).for_each(|incarnation| assert!(old.record_heartbeat(at(0.0), gateway(incarnation))));
    let _ = old.reassign(at(0.0), 3, true);
    let before = old.reassign(at(2.5), 3, true).unwrap();
    let mut new = assigner();
    new.learn_assignment(at(2.5), &before);
    new.record_shutdown(at(2.6), IncarnationId(4));
    assert_eq!(new.reassign(at(3.0), 4, true), None);
    let after = new.reassign(at(5.1), 4, true).unwrap();
    assert!(after.fencing_token > before.fencing_token);
    assert_eq!(
        (after.gateways.len(), after.presumed_alive),
        (4, 5),
        "the count does not fall below that of the recent assignment"
    );
    assert!(!new.record_heartbeat(at(5.2), gateway(4)), "a heartbeat in flight does not revert a shutdown");
    assert_eq!(new.reassign(at(9.0), 3, true), None, "the view is older than that of the newest assignment");
}

#[test]
fn given_a_controller_that_was_stalled_when_it_resumes_then_it_treats_no_gateway_as_lost() {
    let mut assigner = assigner();
    (0..5).for_each(|incarnation| assert!(assigner.record_heartbeat(at(0.0), gateway(incarnation))));
    let _ = assigner.reassign(at(0.0), 1, true);
    assigner.reassign(at(2.1), 1, true).unwrap();
    assigner.reset_liveness(at(15.0));
    assert_eq!(assigner.reassign(at(17.5), 1, true), None);
}
