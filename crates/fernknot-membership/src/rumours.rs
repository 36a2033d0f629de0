//! What is passed on, and how often it was.

use crate::facts::PASSED_ON;
use crate::member::RouterId;
use std::collections::BTreeMap;

/// How often news of a start is passed on.
const FEW: u32 = 3;

fn limit(routers: usize) -> u32 {
    (PASSED_ON * (routers as f64 + 1.0).log2()).ceil() as u32
}

/// Routers whose standing is to be passed on, each with the times that it was; the latest news of each stands in
/// the view. Never more than there are routers.
#[derive(Default)]
pub(crate) struct Rumours {
    sent: BTreeMap<RouterId, u32>,
}

impl Rumours {
    pub fn add(&mut self, of: RouterId) {
        self.sent.insert(of, 0);
    }

    /// What all will hear of in other ways too is passed on a few times, after everything else.
    pub fn add_low(&mut self, of: RouterId, routers: usize) {
        self.sent.insert(of, limit(routers).saturating_sub(FEW));
    }

    pub fn remove(&mut self, of: RouterId) {
        self.sent.remove(&of);
    }

    pub fn has_fresh(&self) -> bool {
        self.sent.values().any(|sent| *sent < 2)
    }

    /// The least passed on first.
    pub fn pick(&self, most: usize) -> Vec<RouterId> {
        let mut order: Vec<(u32, RouterId)> = self.sent.iter().map(|(id, sent)| (*sent, *id)).collect();
        if order.len() > most {
            order.select_nth_unstable(most);
            order.truncate(most);
        }
        order.sort_unstable();
        order.into_iter().map(|(_, id)| id).collect()
    }

    pub fn passed_on(&mut self, of: RouterId, routers: usize) {
        let limit = limit(routers);
        if let Some(sent) = self.sent.get_mut(&of) {
            *sent += 1;
            if *sent >= limit {
                self.sent.remove(&of);
            }
        }
    }
}
