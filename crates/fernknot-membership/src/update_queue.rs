//! Dissemination: the members whose status is sent, and the number of sends of each.

use crate::identity::RouterId;
use std::collections::BTreeMap;

/// Number of sends of an update, as a multiple of the binary logarithm of the number of routers: SWIM's lambda.
const RETRANSMIT_FACTOR: f64 = 2.5;
/// Number of sends of a low-priority update.
const LOW_PRIORITY_SENDS: u32 = 3;
/// Number of sends of an update that justify a datagram of their own; later sends are only piggybacked.
const DEDICATED_DATAGRAM_SENDS: u32 = 2;

fn max_sends(routers: usize) -> u32 {
    (RETRANSMIT_FACTOR * (routers as f64 + 1.0).log2()).ceil() as u32
}

/// Members whose status is disseminated, with the number of sends of each. The status itself is read from the member
/// table when a datagram is composed, so there is at most one entry per router.
#[derive(Default)]
pub(crate) struct UpdateQueue {
    sends: BTreeMap<RouterId, u32>,
}

impl UpdateQueue {
    /// Queues a member's status, or restarts its count of sends.
    pub fn add(&mut self, member: RouterId) {
        self.sends.insert(member, 0);
    }

    /// Queues a status that all routers learn from the member itself, too, such as its first start: it is sent only
    /// [`LOW_PRIORITY_SENDS`] times, and after statuses with fewer sends.
    pub fn add_low_priority(&mut self, member: RouterId, routers: usize) {
        self.sends.insert(member, max_sends(routers).saturating_sub(LOW_PRIORITY_SENDS));
    }

    pub fn remove(&mut self, member: RouterId) {
        self.sends.remove(&member);
    }

    /// Whether some update justifies a datagram of its own.
    pub fn has_fresh(&self) -> bool {
        self.sends.values().any(|sends| *sends < DEDICATED_DATAGRAM_SENDS)
    }

    /// Returns at most `max` members, those with the fewest sends first.
    pub fn pick(&self, max: usize) -> Vec<RouterId> {
        let mut order: Vec<(u32, RouterId)> = self.sends.iter().map(|(id, sends)| (*sends, *id)).collect();
        if order.len() > max {
            order.select_nth_unstable(max);
            order.truncate(max);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    /// Counts one send of a member's status, and drops the member after enough sends.
    pub fn mark_sent(&mut self, member: RouterId, routers: usize) {
        let Some(sends) = self.sends.get_mut(&member) else { return };
        *sends += 1;
        if *sends >= max_sends(routers) {
            self.sends.remove(&member);
        }
    }
}
