//! When a suspicion times out.

use crate::local_health::LocalHealth;
use crate::member::Member;
use crate::settings::{MAX_ACCUSERS, MembershipSettings};
use crate::status::Status;
use fernknot::interface::Nanos;

/// How often a suspicion's time-out is doubled at the most.
const MAX_DOUBLINGS: u32 = 3;

/// When the suspicion of this member times out at the local router.
pub(crate) fn deadline(settings: &MembershipSettings, health: &LocalHealth, member: &Member) -> Nanos {
    let timeout = settings.suspicion_timeout(member.accusers.len());
    if !settings.is_full() {
        return member.suspected_at + timeout;
    }
    // Poor local health lengthens what the local router alone, or nearly so, believes.
    let is_shared = member.accusers.len() >= MAX_ACCUSERS;
    let timeout = if is_shared { timeout } else { health.lengthen(timeout) };
    let doublings = member.refutations.recent(member.suspected_at, settings.settling_time())
        + u32::from(was_heard_by_another(member));
    member.suspected_at + timeout.times(f64::from(1u32 << doublings.min(MAX_DOUBLINGS)))
}

/// Some router heard the suspected one and started another round. Among many routers that is seldom, and the round
/// needs time to reach all of them.
fn was_heard_by_another(member: &Member) -> bool {
    member.state.status > Status::Suspected { round: 0 }
}
