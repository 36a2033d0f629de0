//! The real programs on loopback. Tests wait for conditions, not for fixed times.

mod common;

use common::{System, WAIT_TIMEOUT, build_missing_programs, epoch};
use fernknot_testbed::checker::check;
use fernknot_testbed::cluster::{Cluster, ClusterSettings, Role, wait_until};
use fernknot_testbed::config_draft::ConfigDraft;
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::requests::RequestKind;
use std::path::Path;

/// Number of routes whose configuration is several times larger than the read-ahead of a gateway.
const LARGE_FILLER_ROUTES: usize = 4_000;

/// A configuration is read back unchanged and applied by all gateways, and gathered responses contain the greatest
/// records of their parts.
#[test]
fn given_a_configuration_when_clients_send_queries_then_it_is_read_back_and_responses_are_correct() {
    let system = System::start(11);
    let CallOutcome::Completed { status: 200, body, .. } = system.operator.read() else {
        panic!("no controller returned the configuration")
    };
    let read: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(read, system.draft.to_json());

    let load = system.start_load(80.0);
    wait_until("queries served", WAIT_TIMEOUT, || load.served_count() >= 40).unwrap();
    let requests = load.finish();
    assert_eq!(check(&requests, &system.nodes.execution_log(), &system.expectations()), []);
    assert!(requests.iter().any(|request| request.kind == RequestKind::Gather && request.is_served()));

    let next = ConfigDraft { epoch: 5, filler_routes: 20, ..system.draft.clone() };
    let stale = ConfigDraft { epoch: 9, ..system.draft.clone() };
    assert!(matches!(
        system.operator.replace(&next.to_bytes(), 1),
        CallOutcome::Completed { status: 200, .. }
    ));
    assert!(matches!(
        system.operator.replace(&stale.to_bytes(), 1),
        CallOutcome::Completed { status: 412, .. }
    ));
    assert!(matches!(
        system.operator.replace(&next.to_bytes(), 1),
        CallOutcome::Completed { status: 200, .. }
    ));
    wait_until("all gateways have version 5", WAIT_TIMEOUT, || {
        (0..2).all(|number| system.cluster.gateway_version(number) == 5)
    })
    .unwrap();
}

/// A configuration that is larger than what a process reads ahead reaches the gateways, and so does the one after it.
#[test]
fn given_a_large_configuration_when_it_is_acknowledged_then_all_gateways_apply_it_and_the_next_one() {
    let system = System::start(14);
    let large = ConfigDraft { epoch: 2, filler_routes: LARGE_FILLER_ROUTES, ..system.draft.clone() };
    let next = ConfigDraft { epoch: 3, ..large.clone() };
    for (draft, base) in [(&large, 1), (&next, 2)] {
        assert!(matches!(
            system.operator.replace(&draft.to_bytes(), base),
            CallOutcome::Completed { status: 200, .. }
        ));
        wait_until("all gateways have the version", WAIT_TIMEOUT, || {
            (0..2).all(|number| system.cluster.gateway_version(number) == draft.epoch)
        })
        .unwrap();
    }
}

/// An acknowledged configuration survives the loss of one controller, then of all controllers at once.
#[test]
fn given_killed_controllers_when_they_restart_then_they_return_the_acknowledged_configuration() {
    let mut system = System::start(12);
    system.cluster.kill(Role::Controller, 0).unwrap();
    let next = ConfigDraft { epoch: 2, ..system.draft.clone() };
    assert!(matches!(
        system.operator.replace(&next.to_bytes(), 1),
        CallOutcome::Completed { status: 200, .. }
    ));
    system.cluster.restart(Role::Controller, 0).unwrap();
    let restarted_only = Operator { addrs: vec![system.cluster.control_addrs()[0]], timeout: WAIT_TIMEOUT };
    let read = |operator: &Operator| match operator.read() {
        CallOutcome::Completed { status: 200, body, .. } => epoch(&body),
        _ => None,
    };
    wait_until("the restarted controller returns version 2", WAIT_TIMEOUT, || {
        read(&restarted_only) == Some(2)
    })
    .unwrap();

    (0..3).for_each(|number| system.cluster.kill(Role::Controller, number).unwrap());
    (0..3).for_each(|number| system.cluster.restart(Role::Controller, number).unwrap());
    assert_eq!(read(&system.operator), Some(2));
}

/// A gateway answers all requests that it has read before it exits.
#[test]
fn given_queries_when_a_gateway_is_terminated_then_none_is_lost() {
    let mut system = System::start(13);
    let load = system.start_load(120.0);
    wait_until("queries served", WAIT_TIMEOUT, || load.served_count() >= 30).unwrap();
    system.cluster.terminate(Role::Gateway, 0).unwrap();
    let mut status = None;
    wait_until("the terminated gateway has exited", WAIT_TIMEOUT, || {
        status = status.or_else(|| system.cluster.exit_status(Role::Gateway, 0));
        status.is_some()
    })
    .unwrap();
    assert!(status.unwrap().success(), "{status:?}: {:?}", system.cluster.log_lines(Role::Gateway, 0));
    let served_before = load.served_count();
    wait_until("queries served by the other gateway", WAIT_TIMEOUT, || {
        load.served_count() >= served_before + 30
    })
    .unwrap();
    let requests = load.finish();
    let unserved: Vec<_> = requests.iter().filter(|request| !request.is_served()).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
    assert_eq!(check(&requests, &system.nodes.execution_log(), &system.expectations()), []);
}

/// Controllers start with the disks of an earlier release. The origin of the disks is described in
/// `fernknot-controller`, in `tests/old_disk.rs`.
#[test]
fn given_disks_of_an_earlier_release_when_controllers_start_then_the_configuration_is_read_and_changed() {
    build_missing_programs();
    let initial_disks =
        Path::new(env!("CARGO_MANIFEST_DIR")).join("../fernknot-controller/tests/fixtures/disks");
    let recorded = std::fs::read(initial_disks.join("configuration.json")).unwrap();
    let settings = ClusterSettings {
        controllers: 4,
        seed: 14,
        initial_disks: Some(initial_disks),
        ..ClusterSettings::default()
    };
    let cluster = Cluster::start(settings).unwrap();
    cluster.await_controllers(WAIT_TIMEOUT).unwrap();
    let operator = Operator { addrs: cluster.control_addrs(), timeout: WAIT_TIMEOUT };
    let CallOutcome::Completed { status: 200, body, .. } = operator.read() else {
        panic!("no controller returned the configuration")
    };
    assert_eq!(body, recorded);

    let recorded_version = epoch(&recorded).unwrap();
    let next = ConfigDraft { epoch: recorded_version + 1, ..ConfigDraft::default() };
    let outcome = operator.replace(&next.to_bytes(), recorded_version);
    assert!(matches!(outcome, CallOutcome::Completed { status: 200, .. }), "{outcome:?}");
    wait_until("all gateways have the new version", WAIT_TIMEOUT, || {
        (0..2).all(|number| cluster.gateway_version(number) == next.epoch)
    })
    .unwrap();
}
