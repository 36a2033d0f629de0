//! Check of the configuration versions that requests on changing routes reveal: a gateway in contact acts on a version
//! no older than the newest one that is due, and no incarnation returns to an older version.

use crate::checks::rule::{BrokenRule, Rule, Violation};
use crate::linearizability::Version;
use crate::route_slots::contains_slot;
use fernknot::interface::Nanos;
use std::collections::BTreeMap;

/// Handling of a request on a changing route by a gateway.
#[derive(Clone, Copy, Debug)]
pub struct RouteObservation {
    /// Index of the gateway.
    pub gateway: usize,
    /// Incarnation of the gateway's process.
    pub incarnation: u64,
    /// Slot of the route; see [`crate::route_slots`].
    pub slot: u64,
    /// Time at which the client sent the request.
    pub sent_at: Nanos,
    /// Time of the execution, or of the arrival of the response 404 at the client.
    pub observed_at: Nanos,
    /// Whether the gateway was in contact when the request was sent and when the observation was made.
    pub is_in_contact: bool,
    /// Whether the request was executed; otherwise the gateway had no route for it.
    pub has_route: bool,
}

/// A version that an operator sent and that was not rejected.
#[derive(Clone, Copy, Debug)]
pub struct SentVersion {
    /// Epoch, and as body the number of the change.
    pub version: Version,
    /// Time at which the operator first sent it.
    pub sent_at: Nanos,
    /// Time at which a controller acknowledged it.
    pub acknowledged_at: Option<Nanos>,
}

/// Time bounds of the check.
#[derive(Clone, Copy, Debug)]
pub struct VersionBounds {
    /// Time after its acknowledgement at which a version is due at gateways in contact.
    pub apply_deadline: Nanos,
    /// Time after the first observation of a version for which an incarnation may act on an older one.
    pub revert_slack: Nanos,
}

/// Oldest version that an incarnation can have had when an observation was made.
#[derive(Clone, Copy, Debug)]
struct OldestPossible {
    epoch: u64,
    seen_at: Nanos,
}

/// Returns the violations in the order in which the requests were sent.
pub fn check_route_versions(
    observations: &[RouteObservation],
    versions: &[SentVersion],
    bounds: &VersionBounds,
) -> Vec<Violation> {
    let mut observations = observations.to_vec();
    observations.sort_by_key(|observation| (observation.sent_at, observation.observed_at));
    let mut seen: BTreeMap<(usize, u64), Vec<OldestPossible>> = BTreeMap::new();
    let mut violations = Vec::new();
    for observation in &observations {
        let known = seen.entry((observation.gateway, observation.incarnation)).or_default();
        let broken = check_due(observation, versions, bounds)
            .or_else(|| check_revert(observation, versions, bounds, known));
        violations.extend(broken.map(|BrokenRule { rule, text }| Violation {
            rule,
            at: observation.observed_at,
            text,
        }));
    }
    violations
}

/// Checks that a gateway in contact handled a request as the newest version that was due allows, or a newer one.
fn check_due(
    observation: &RouteObservation,
    versions: &[SentVersion],
    bounds: &VersionBounds,
) -> Option<BrokenRule> {
    if !observation.is_in_contact {
        return None;
    }
    let due_at = |sent: &SentVersion| sent.acknowledged_at.map(|at| at + bounds.apply_deadline);
    let is_due = |sent: &&SentVersion| due_at(sent).is_some_and(|due_at| observation.sent_at > due_at);
    let due = versions.iter().filter(is_due).max_by_key(|sent| sent.version)?;
    if oldest_consistent(observation, versions, due.version.epoch).is_some() {
        return None;
    }
    let overdue_ms = (observation.sent_at - due_at(due)?).as_millis();
    let text = format!(
        "{} as an older version says; version {} was due {overdue_ms:.0} ms before",
        describe(observation),
        due.version.epoch
    );
    Some(BrokenRule::new(Rule::Config, text))
}

/// Checks that an incarnation does not return to an older version, and records the oldest version that it can have.
fn check_revert(
    observation: &RouteObservation,
    versions: &[SentVersion],
    bounds: &VersionBounds,
    known: &mut Vec<OldestPossible>,
) -> Option<BrokenRule> {
    let binds = |oldest: &&OldestPossible| observation.sent_at > oldest.seen_at + bounds.revert_slack;
    let bound = known.iter().filter(binds).map(|oldest| oldest.epoch).max().unwrap_or(0);
    let Some(epoch) = oldest_consistent(observation, versions, bound) else {
        let text = format!(
            "{} as an older version says; its incarnation had version {bound} or a newer one",
            describe(observation)
        );
        return Some(BrokenRule::new(Rule::Config, text));
    };
    if epoch > bound {
        known.push(OldestPossible { epoch, seen_at: observation.observed_at });
    }
    None
}

/// Returns the epoch of the oldest version from `from` on by which the request can have been handled as it was.
fn oldest_consistent(observation: &RouteObservation, versions: &[SentVersion], from: u64) -> Option<u64> {
    let is_possible = |sent: &&SentVersion| {
        sent.version.epoch >= from
            && sent.sent_at <= observation.observed_at
            && contains_slot(sent.version.body, observation.slot) == observation.has_route
    };
    versions.iter().filter(is_possible).map(|sent| sent.version.epoch).min()
}

fn describe(observation: &RouteObservation) -> String {
    let RouteObservation { gateway, slot, sent_at, has_route, .. } = observation;
    let handling = if *has_route { "sends on" } else { "rejects with 404" };
    format!("gateway {gateway} {handling} a request on route {slot} of {:.0} ms", sent_at.as_millis())
}
