//! The view as others may ask for it.

use crate::fleet::Fleet;
use crate::member::{Cause, Incarnation, LinkState, RouterId, Standing, Verdict};
use fernknot::interface::Nanos;

/// One router as this one sees it.
#[derive(Clone, Debug, PartialEq)]
pub struct Line {
    pub id: RouterId,
    /// `own`, `unheard`, `alive`, `doubted`, `lost` or `left`.
    pub state: &'static str,
    pub incarnation: Incarnation,
    /// Since that has been so, as known here.
    pub age: Nanos,
    pub link: LinkState,
    pub cause: Cause,
    pub changes: u32,
}

/// The word for a standing.
pub fn state(standing: Standing) -> &'static str {
    match standing.verdict {
        Verdict::Alive if standing.incarnation.0 == 0 => "unheard",
        Verdict::Alive => "alive",
        Verdict::Doubted { .. } => "doubted",
        Verdict::Lost => "lost",
        Verdict::Left => "left",
    }
}

impl Fleet {
    /// Each other router, in the order of their ids.
    pub fn lines(&self, now: Nanos) -> Vec<Line> {
        let line = |member: &crate::member::Member| Line {
            id: member.id,
            state: state(member.standing),
            incarnation: member.standing.incarnation,
            age: now - member.cause.at,
            link: member.link,
            cause: member.cause,
            changes: member.changes,
        };
        self.members().map(line).collect()
    }
}
