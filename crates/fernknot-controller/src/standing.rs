//! How the view stands, in words for a person.

use fernknot_consensus::{Ineligibility, ViewStatus};
use std::fmt::Write;

fn absence_reason(lack: Ineligibility) -> &'static str {
    match lack {
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

/// The answer to `fernknot show views`.
pub fn view_report(standing: Option<&ViewStatus>, order: u64, losses: usize, majority: bool) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let Some(standing) = standing else {
        let _ = writeln!(out, "the disk has not been read yet");
        return out;
    };
    let force = if standing.active { "" } else { ", not in force" };
    let _ = writeln!(out, "view {}, order {order}{force}", standing.number.0);
    for seat in &standing.replicas {
        let place = match (seat.is_member, seat.is_voter) {
            (true, _) => "member",
            (false, true) => "left out, votes",
            (false, false) => "left out",
        };
        let _ = write!(out, "{} {} {place}", seat.member.addr, seat.member.zone);
        let _ = match seat.ineligibility {
            Some(lack) => writeln!(out, ": {}", absence_reason(lack)),
            None => writeln!(out),
        };
    }
    let borne = standing.remaining_fault_tolerance;
    let _ = writeln!(out, "bears {borne} more losses now, is to bear {losses}");
    let _ = writeln!(out, "majority heard: {majority}");
    out
}
