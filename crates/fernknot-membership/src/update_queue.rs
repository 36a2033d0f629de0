//! Dissemination: which members' statuses are passed on, and how often each was.

use crate::identity::RouterId;
use std::collections::BTreeMap;

/// An update is passed on so many times the binary logarithm of the number of routers: SWIM's lambda.
const RETRANSMIT_FACTOR: f64 = 2.5;
/// How often a low-priority update is passed on.
const LOW_PRIORITY_SENDS: u32 = 3;
/// An update sent less often than this is worth a datagram of its own.
const FRESH_SENDS: u32 = 2;

fn max_sends(routers: usize) -> u32 {
    (RETRANSMIT_FACTOR * (routers as f64 + 1.0).log2()).ceil() as u32
}

/// Members whose status is to be passed on, each with how often it was. The status itself is read from the member
/// table when a datagram is composed, so there is at most one entry per router.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    sends: BTreeMap<RouterId, u32>,
}

impl UpdateQueue {
    /// Passes a member's status on, from now on.
    pub fn add(&mut self, member: RouterId) {
        self.sends.insert(member, 0);
    }

    /// What all routers learn by other means too is passed on only a few times, after everything else.
    pub fn add_low_priority(&mut self, member: RouterId, routers: usize) {
        self.sends.insert(member, max_sends(routers).saturating_sub(LOW_PRIORITY_SENDS));
    }

    /// Forgets a member.
    pub fn remove(&mut self, member: RouterId) {
        self.sends.remove(&member);
    }

    /// Whether some update is worth a datagram of its own.
    pub fn has_fresh(&self) -> bool {
        self.sends.values().any(|sends| *sends < FRESH_SENDS)
    }

    /// At most `max` members, those sent least often first.
    pub fn pick(&self, max: usize) -> Vec<RouterId> {
        let mut order: Vec<(u32, RouterId)> = self.sends.iter().map(|(id, sends)| (*sends, *id)).collect();
        if order.len() > max {
            order.select_nth_unstable(max);
            order.truncate(max);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// A member's status was sent once; it is dropped after enough sends.
    pub fn mark_sent(&mut self, member: RouterId, routers: usize) {
        let Some(sends) = self.sends.get_mut(&member) else { return };
        *sends += 1;
        if *sends >= max_sends(routers) {
            self.sends.remove(&member);
        }
    }
}
