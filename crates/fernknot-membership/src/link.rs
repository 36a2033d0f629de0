//! Whether datagrams pass between the local router and another one, apart from whether that one is live.

use std::fmt;

/// The link between the local router and another one.
///
/// Its [`Display`](fmt::Display) form is the one of the operator's view (`docs/operating-router.md`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// No probe has ended yet.
    #[default]
    Unknown,
    /// Datagrams pass both ways.
    Bidirectional,
    /// The local router hears the other one, which does not hear it.
    InboundOnly,
    /// The other router hears the local one, which does not hear it.
    OutboundOnly,
    /// Neither hears the other, though third routers hear both.
    Disconnected,
}

impl fmt::Display for LinkState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            LinkState::Unknown => "Unknown",
            LinkState::Bidirectional => "Both",
            LinkState::InboundOnly => "OnlyIn",
            LinkState::OutboundOnly => "OnlyOut",
            LinkState::Disconnected => "Cut",
        })
    }
}

/// Consecutive probes that must agree before a link's state gets worse, so that one lost datagram is not taken for a
/// broken link.
const PROBES_TO_DEGRADE: u32 = 3;

/// The state of one link, and the latest probes that disagree with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTracker {
    state: LinkState,
    observed: LinkState,
    consecutive: u32,
}

impl LinkTracker {
    /// The link's state.
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Takes what one probe shows of the link. A good one counts at once.
    pub fn observe(&mut self, observed: LinkState) {
        if observed == LinkState::Bidirectional {
            *self = LinkTracker { state: observed, observed, consecutive: 0 };
            return;
        }
        self.consecutive = if self.observed == observed { self.consecutive + 1 } else { 1 };
        self.observed = observed;
        if self.consecutive >= PROBES_TO_DEGRADE {
            self.state = observed;
        }
    }
}
