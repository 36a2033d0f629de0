//! What is known of one other router. Verdicts form a lattice: whatever the order in which the same words come,
//! and however often, the highest one stays.

use fernknot::interface::Nanos;
use serde::{Deserialize, Serialize};

/// A router by the address at which all lists name it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct RouterId(#[serde(with = "postcard::fixint::le")] pub u32);

/// Grows with each start and each refutation; zero is one that was never heard of. A start takes the wall
/// clock's milliseconds, a refutation one more than what it refutes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation(pub u64);

/// In the order in which one goes before another at the same incarnation.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Verdict {
    Alive,
    /// Whoever hears a doubted router opens the next round, in which the doubt's time starts anew.
    Doubted {
        round: u8,
    },
    Lost,
    Left,
}

/// What a router stands for in the lattice.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Standing {
    pub incarnation: Incarnation,
    pub verdict: Verdict,
}

impl Standing {
    pub const UNHEARD: Standing = Standing { incarnation: Incarnation(0), verdict: Verdict::Alive };

    /// Takes the higher one; whether that changed anything.
    pub fn join(&mut self, told: Standing) -> bool {
        let higher = told > *self;
        *self = (*self).max(told);
        higher
    }

    /// It is held to be running, whether or not it is doubted.
    pub fn lives(&self) -> bool {
        self.incarnation.0 > 0 && matches!(self.verdict, Verdict::Alive | Verdict::Doubted { .. })
    }
}

/// By which path a verdict came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Path {
    /// Named in the list, nothing heard yet.
    Listed,
    /// From the router itself.
    Itself,
    /// By this router's own probe or doubt.
    Own,
    /// Passed on by another.
    Told(RouterId),
}

/// Who said so, when, and by which path it came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Cause {
    pub by: RouterId,
    pub at: Nanos,
    pub path: Path,
}

/// The link between this router and another, apart from whether that one lives.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    #[default]
    Unknown,
    Both,
    /// This router hears it; it does not hear this one.
    OnlyIn,
    /// It hears this router; this one does not hear it.
    OnlyOut,
    /// Neither hears the other, though others hear it.
    Cut,
}

/// Probes in a row that must say the same of a link before it changes for the worse. Guards against taking a
/// lost datagram for a cut.
const LINK_ROW: u32 = 3;

#[derive(Clone, Debug)]
pub struct Member {
    pub id: RouterId,
    pub standing: Standing,
    pub cause: Cause,
    /// When it was last heard itself.
    pub heard: Option<Nanos>,
    /// The start of its process, as it says itself.
    pub started: u64,
    pub(crate) said: Incarnation,
    pub link: LinkState,
    link_row: (LinkState, u32),
    /// Who doubts it in this round, and since when that is known here.
    pub(crate) doubters: Vec<RouterId>,
    pub(crate) doubted_at: Nanos,
    /// Doubts refuted one after the other, each of which doubles the time of the next, and when the last was.
    /// Guards against verdicts that come and go where a refutation has a long way.
    pub(crate) refuted: (u32, Nanos),
    /// When its process was first heard.
    pub(crate) came: Option<Nanos>,
    /// When a probe of it last failed.
    pub(crate) missed: Option<Nanos>,
    pub changes: u32,
}

impl Member {
    pub(crate) fn new(id: RouterId, now: Nanos) -> Member {
        Member {
            id,
            standing: Standing::UNHEARD,
            cause: Cause { by: id, at: now, path: Path::Listed },
            heard: None,
            started: 0,
            said: Incarnation(0),
            link: LinkState::Unknown,
            link_row: (LinkState::Unknown, 0),
            doubters: Vec::new(),
            doubted_at: now,
            refuted: (0, now),
            came: None,
            missed: None,
            changes: 0,
        }
    }

    /// What is known of it is no more than its own last word.
    pub(crate) fn is_plain(&self) -> bool {
        self.standing == Standing { incarnation: self.said, verdict: Verdict::Alive }
    }

    /// Doubts refuted, unless the last was so long ago. Guards a router that ran well since against a doubt that
    /// takes many times as long for what once was.
    pub(crate) fn refuted_lately(&self, now: Nanos, kept: Nanos) -> u32 {
        let (count, at) = self.refuted;
        if now - at < kept { count } else { 0 }
    }

    pub fn is_doubted(&self) -> bool {
        matches!(self.standing.verdict, Verdict::Doubted { .. })
    }

    /// Takes what one probe says of the link.
    pub(crate) fn note_link(&mut self, link: LinkState) {
        if link == LinkState::Both {
            (self.link, self.link_row) = (link, (link, 0));
            return;
        }
        let row = if self.link_row.0 == link { self.link_row.1 + 1 } else { 1 };
        self.link_row = (link, row);
        if row >= LINK_ROW {
            self.link = link;
        }
    }
}
