//! Human-readable reports for operators, as `fernknot show` prints them.

use fernknot_consensus::{Ineligibility, ReplicaStatus, ViewStatus};
use fernknot_ownership::Assignment;
use fernknot_registry::NodeRecord;
use fernknot_usage::WindowNumber;
use fernknot_usage_reporting::ReporterStatus;

/// Returns the report of `fernknot show nodes`: one line per node, sorted by service and identifier.
pub fn nodes(up: usize, version: u64, mut records: Vec<NodeRecord>) -> String {
    records.sort_by(|a, b| (&a.service, &a.id).cmp(&(&b.service, &b.id)));
    let mut report = format!("{up} nodes up, change {version}\n");
    for record in &records {
        let NodeRecord { id, service, addr, zone, state, .. } = record;
        report += &format!("{service} {id} {addr} {zone} {state:?}\n");
    }
    report
}

/// Returns the report of `fernknot show homes` and `fernknot show duties`: the assignment, and one line per live
/// gateway.
pub fn assignment(assignment: &Assignment) -> String {
    let token = assignment.fencing_token;
    let presumed_alive = assignment.presumed_alive;
    let mut report = format!("cut {}.{}, {presumed_alive} may be alive\n", token.view(), token.number());
    for gateway in &assignment.gateways {
        report += &format!("{:016x} {} {}\n", gateway.incarnation.0, gateway.addr, gateway.zone);
    }
    report
}

/// Returns the lines of `fernknot show duties` on the role of usage reporter, as this controller sees it.
pub fn reporter(status: &ReporterStatus) -> String {
    let holding = match (status.token, status.takeover_wait) {
        (Some(token), _) => format!("held by this controller, fencing token {}", token.0),
        (None, Some(wait)) => format!("this controller leads, may act in {:.0} ms", wait.as_millis()),
        (None, None) => "not held by this controller".to_string(),
    };
    let window =
        |window: Option<WindowNumber>| window.map_or("none".to_string(), |window| window.0.to_string());
    let ReporterStatus { last_fixed, last_acknowledged, unreported, abandoned, last_failure, .. } = status;
    let failure =
        last_failure.map(|failure| format!("usage report: last attempt: {failure}\n")).unwrap_or_default();
    format!(
        "usage report: {holding}\n\
         usage report: last window fixed {}, last acknowledged {}, {unreported} waiting, {abandoned} given up\n{failure}",
        window(*last_fixed),
        window(*last_acknowledged)
    )
}

/// Returns the report of `fernknot show views`. `status` is None before the disk has been read.
pub fn view(
    status: Option<&ViewStatus>,
    revision: u64,
    tolerated_losses: usize,
    majority_reachable: bool,
) -> String {
    let Some(status) = status else { return "the disk has not been read yet\n".into() };
    let activity = if status.active { "" } else { ", not in force" };
    let mut report = format!("view {}, order {revision}{activity}\n", status.number.0);
    for replica in &status.replicas {
        report += &replica_line(replica);
    }
    let remaining = status.remaining_fault_tolerance;
    report += &format!("bears {remaining} more losses now, is to bear {tolerated_losses}\n");
    report += &format!("majority heard: {majority_reachable}\n");
    report
}

fn replica_line(replica: &ReplicaStatus) -> String {
    let role = match (replica.is_member, replica.is_voter) {
        (true, _) => "member",
        (false, true) => "left out, votes",
        (false, false) => "left out",
    };
    let reason = replica.ineligibility.map(|reason| format!(": {}", ineligibility(reason)));
    let member = &replica.member;
    format!("{} {} {role}{}\n", member.addr, member.zone, reason.unwrap_or_default())
}

fn ineligibility(reason: Ineligibility) -> &'static str {
    match reason {
        Ineligibility::Unreachable => "not heard, or does not hear this one",
        Ineligibility::Replaced => "another disk is at its address",
        Ineligibility::DiskUnhealthy => "its disk hangs or refuses",
        Ineligibility::SlowDisk => "does not store in time",
        Ineligibility::Recovering => "asks the others what its disk had vouched for",
        Ineligibility::OutdatedDisk => "its disk is an older copy of itself",
        Ineligibility::CatchingUp => "catches up",
        Ineligibility::PartiallyConnected => "not in touch with all of the view",
    }
}
