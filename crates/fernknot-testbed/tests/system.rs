//! Stories of the real programs on loopback. Each waits for what it needs, never for a time.

mod common;

use common::{System, WAIT_TIMEOUT, epoch, programs};
use fernknot_testbed::checker::check;
use fernknot_testbed::cluster::{Cluster, ClusterSettings, Role, wait_until};
use fernknot_testbed::config_draft::ConfigDraft;
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::requests::RequestKind;
use std::path::Path;

/// Guards the whole path: what an operator sent is read back as it was, is in force at every gateway, and a gathered
/// answer holds the greatest records of its parts.
#[test]
fn given_a_configuration_when_clients_ask_then_it_is_read_back_and_responses_are_right() {
    let system = System::start(11);
    let CallOutcome::Completed { status: 200, body, .. } = system.operator.read() else {
        panic!("not read back")
    };
    let read: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(read, system.draft.to_json());

    let load = system.load(80.0);
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
    wait_until("version 5 everywhere", WAIT_TIMEOUT, || {
        (0..2).all(|number| system.cluster.gateway_version(number) == 5)
    })
    .unwrap();
}

/// Guards the promise of an acknowledgement against the loss of one process, then of all of them at once.
#[test]
fn given_controllers_killed_outright_when_they_start_again_then_the_configuration_is_still_there() {
    let mut system = System::start(12);
    system.cluster.kill(Role::Controller, 0).unwrap();
    let next = ConfigDraft { epoch: 2, ..system.draft.clone() };
    assert!(matches!(
        system.operator.replace(&next.to_bytes(), 1),
        CallOutcome::Completed { status: 200, .. }
    ));
    system.cluster.restart(Role::Controller, 0).unwrap();
    let alone = Operator { addrs: vec![system.cluster.control_addrs()[0]], timeout: WAIT_TIMEOUT };
    let read = |operator: &Operator| match operator.read() {
        CallOutcome::Completed { status: 200, body, .. } => epoch(&body),
        _ => None,
    };
    wait_until("the restarted one returns version 2", WAIT_TIMEOUT, || read(&alone) == Some(2)).unwrap();

    (0..3).for_each(|number| system.cluster.kill(Role::Controller, number).unwrap());
    (0..3).for_each(|number| system.cluster.restart(Role::Controller, number).unwrap());
    assert_eq!(read(&system.operator), Some(2));
}

/// Guards what a planned stop owes to clients: everything that was read is answered.
#[test]
fn given_queries_when_a_gateway_is_asked_to_stop_then_none_is_lost() {
    let mut system = System::start(13);
    let load = system.load(120.0);
    wait_until("queries served", WAIT_TIMEOUT, || load.served_count() >= 30).unwrap();
    system.cluster.terminate(Role::Gateway, 0).unwrap();
    let mut status = None;
    wait_until("it is out", WAIT_TIMEOUT, || {
        status = status.or_else(|| system.cluster.exit_status(Role::Gateway, 0));
        status.is_some()
    })
    .unwrap();
    assert!(status.unwrap().success(), "{status:?}: {:?}", system.cluster.log_lines(Role::Gateway, 0));
    let so_far = load.served_count();
    wait_until("queries served by the other", WAIT_TIMEOUT, || load.served_count() >= so_far + 30).unwrap();
    let requests = load.finish();
    let unserved: Vec<_> = requests.iter().filter(|request| !request.is_served()).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
    assert_eq!(check(&requests, &system.nodes.execution_log(), &system.expectations()), []);
}

/// Guards the upgrade of a program in place: it goes on from the disk that an earlier release left behind. The disks
/// are those of `fernknot-controller`, where their origin is stated.
#[test]
fn given_disks_of_an_earlier_release_when_started_on_them_then_the_configuration_is_there_and_may_be_changed()
{
    programs();
    let disks = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fernknot-controller/tests/fixtures/disks");
    let recorded = std::fs::read(disks.join("configuration.json")).unwrap();
    let settings =
        ClusterSettings { controllers: 4, seed: 14, disks: Some(disks), ..ClusterSettings::default() };
    let cluster = Cluster::start(settings).unwrap();
    cluster.await_controllers(WAIT_TIMEOUT).unwrap();
    let operator = Operator { addrs: cluster.control_addrs(), timeout: WAIT_TIMEOUT };
    let CallOutcome::Completed { status: 200, body, .. } = operator.read() else { panic!("not read back") };
    assert_eq!(body, recorded);

    let recorded_version = epoch(&recorded).unwrap();
    let next = ConfigDraft { epoch: recorded_version + 1, ..ConfigDraft::default() };
    let end = operator.replace(&next.to_bytes(), recorded_version);
    assert!(matches!(end, CallOutcome::Completed { status: 200, .. }), "{end:?}");
    wait_until("the change everywhere", WAIT_TIMEOUT, || {
        (0..2).all(|number| cluster.gateway_version(number) == next.epoch)
    })
    .unwrap();
}
