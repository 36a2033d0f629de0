//! Stories of the real programs on loopback. Each waits for what it needs, never for a time.

mod common;

use common::{PATIENCE, System, epoch, programs};
use fernknot_testbed::checker::{Kind, check};
use fernknot_testbed::operator::{CallOutcome, Operator};
use fernknot_testbed::paper::ConfigDraft;
use fernknot_testbed::rig::{Cluster, ClusterSettings, Role, wait_until};
use std::path::Path;

/// Guards the whole path: what an operator sent is read back as it was, is in force at every gateway, and a gathered
/// answer holds the greatest records of its parts.
#[test]
fn given_a_configuration_when_clients_ask_then_it_is_read_back_and_answers_are_right() {
    let system = System::start(11);
    let CallOutcome::Completed { status: 200, body, .. } = system.operator.read() else {
        panic!("not read back")
    };
    let read: serde_json::Value = serde_json::from_slice(&body).unwrap();
    assert_eq!(read, system.draft.to_json());

    let load = system.load(80.0);
    wait_until("queries served", PATIENCE, || load.served_count() >= 40).unwrap();
    let requests = load.finish();
    assert_eq!(check(&requests, &system.nodes.execution_log(), &system.allowed()), []);
    assert!(requests.iter().any(|request| request.kind == Kind::Gather && request.is_served()));

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
    wait_until("version 5 everywhere", PATIENCE, || (0..2).all(|at| system.rig.gateway_version(at) == 5))
        .unwrap();
}

/// Guards the promise of an acknowledgement against the loss of one process, then of all of them at once.
#[test]
fn given_registrars_killed_outright_when_they_start_again_then_the_configuration_is_still_there() {
    let mut system = System::start(12);
    system.rig.kill(Role::Controller, 0).unwrap();
    let next = ConfigDraft { epoch: 2, ..system.draft.clone() };
    assert!(matches!(
        system.operator.replace(&next.to_bytes(), 1),
        CallOutcome::Completed { status: 200, .. }
    ));
    system.rig.restart(Role::Controller, 0).unwrap();
    let alone = Operator { addrs: vec![system.rig.control_addrs()[0]], timeout: PATIENCE };
    let read = |operator: &Operator| match operator.read() {
        CallOutcome::Completed { status: 200, body, .. } => epoch(&body),
        _ => None,
    };
    wait_until("the restarted one tells version 2", PATIENCE, || read(&alone) == Some(2)).unwrap();

    (0..3).for_each(|at| system.rig.kill(Role::Controller, at).unwrap());
    (0..3).for_each(|at| system.rig.restart(Role::Controller, at).unwrap());
    assert_eq!(read(&system.operator), Some(2));
}

/// Guards what a planned stop owes to clients: everything that was read is answered.
#[test]
fn given_queries_when_a_gateway_is_told_to_stop_then_none_is_lost() {
    let mut system = System::start(13);
    let load = system.load(120.0);
    wait_until("queries served", PATIENCE, || load.served_count() >= 30).unwrap();
    system.rig.terminate(Role::Gateway, 0).unwrap();
    let mut status = None;
    wait_until("it is out", PATIENCE, || {
        status = status.or_else(|| system.rig.exit_status(Role::Gateway, 0));
        status.is_some()
    })
    .unwrap();
    assert!(status.unwrap().success(), "{status:?}: {:?}", system.rig.log_lines(Role::Gateway, 0));
    let so_far = load.served_count();
    wait_until("queries served by the other", PATIENCE, || load.served_count() >= so_far + 30).unwrap();
    let requests = load.finish();
    let unserved: Vec<_> = requests.iter().filter(|request| !request.is_served()).collect();
    assert!(unserved.is_empty(), "{unserved:?}");
    assert_eq!(check(&requests, &system.nodes.execution_log(), &system.allowed()), []);
}

/// Guards the upgrade of a program in place: it goes on from the disk that an earlier release left behind. The disks
/// are those of `fernknot-controller`, where their origin is told.
#[test]
fn given_disks_of_an_earlier_release_when_started_on_them_then_the_configuration_is_there_and_may_be_changed()
{
    programs();
    let disks = Path::new(env!("CARGO_MANIFEST_DIR")).join("../fernknot-controller/tests/fixtures/disks");
    let recorded = std::fs::read(disks.join("configuration.json")).unwrap();
    let layout =
        ClusterSettings { controllers: 4, seed: 14, disks: Some(disks), ..ClusterSettings::default() };
    let rig = Cluster::start(layout).unwrap();
    rig.await_controllers(PATIENCE).unwrap();
    let operator = Operator { addrs: rig.control_addrs(), timeout: PATIENCE };
    let CallOutcome::Completed { status: 200, body, .. } = operator.read() else { panic!("not read back") };
    assert_eq!(body, recorded);

    let recorded_version = epoch(&recorded).unwrap();
    let next = ConfigDraft { epoch: recorded_version + 1, ..ConfigDraft::default() };
    let end = operator.replace(&next.to_bytes(), recorded_version);
    assert!(matches!(end, CallOutcome::Completed { status: 200, .. }), "{end:?}");
    wait_until("the change everywhere", PATIENCE, || (0..2).all(|at| rig.gateway_version(at) == next.epoch))
        .unwrap();
}
