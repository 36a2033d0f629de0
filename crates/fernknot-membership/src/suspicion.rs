//! Time-outs of suspicions.

use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::settings::{MAX_ACCUSERS, MembershipSettings};
use crate::status::Status;
use fernknot::interface::Nanos;

/// Maximum number of times that a suspicion's time-out is doubled.
const MAX_TIMEOUT_DOUBLINGS: u32 = 3;

/// Time at which the suspicion of this member times out locally.
pub(crate) fn deadline(settings: &MembershipSettings, health: &LocalHealth, member: &Member) -> Nanos {
    let timeout = settings.suspicion_timeout(member.accusers.len());
    if !settings.is_full() {
        return member.suspected_at + timeout;
    }
    // With fewer than `MAX_ACCUSERS` accusers, poor local health lengthens the time-out.
    let is_shared = member.accusers.len() >= MAX_ACCUSERS;
    let timeout = if is_shared { timeout } else { health.lengthen(timeout) };
    let doublings = member.refutations.recent(member.suspected_at, settings.settling_time())
        + u32::from(has_later_round(member));
    member.suspected_at + timeout.times(f64::from(1u32 << doublings.min(MAX_TIMEOUT_DOUBLINGS)))
}

/// Whether a later round was started because some router received a message of the suspected one. Among many routers,
/// the new round needs time to reach all of them.
fn has_later_round(member: &Member) -> bool {
    member.state.status > Status::Suspected { round: 0 }
}
