//! How the view stands, in words for a person.

use fernknot_consensus::{Ineligibility, ViewStatus};
use std::fmt::Write;

fn why(lack: Ineligibility) -> &'static str {
    match lack {
        Ineligibility::Silent => "not heard, or does not hear this one",
        Ineligibility::Replaced => "another disk is at its address",
        Ineligibility::DiskNotWell => "its disk hangs or refuses",
        Ineligibility::TooSlow => "does not store in time",
        Ineligibility::Asks => "asks the others what its disk had vouched for",
        Ineligibility::OlderCopy => "its disk is an older copy of itself",
        Ineligibility::CatchingUp => "catches up",
        Ineligibility::NotWithAll => "not in touch with all of the view",
    }
}

/// The answer to `fernknot show views`.
pub fn told(standing: Option<&ViewStatus>, order: u64, losses: usize, majority: bool) -> String {
    let mut out = String::new();
    // Writing to a string does not fail.
    let Some(standing) = standing else {
        let _ = writeln!(out, "the disk has not been read yet");
        return out;
    };
    let force = if standing.in_force { "" } else { ", not in force" };
    let _ = writeln!(out, "view {}, order {order}{force}", standing.no.0);
    for seat in &standing.seats {
        let place = match (seat.inside, seat.votes) {
            (true, _) => "member",
            (false, true) => "left out, votes",
            (false, false) => "left out",
        };
        let _ = write!(out, "{} {} {place}", seat.member.addr, seat.member.zone);
        let _ = match seat.lack {
            Some(lack) => writeln!(out, ": {}", why(lack)),
            None => writeln!(out),
        };
    }
    let borne = standing.losses_borne;
    let _ = writeln!(out, "bears {borne} more losses now, is to bear {losses}");
    let _ = writeln!(out, "majority heard: {majority}");
    out
}
