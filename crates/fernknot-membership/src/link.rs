//! Reachability by datagrams between the local router and another one, tracked separately from liveness.

use std::fmt;

/// Link between the local router and another one.
///
/// Its [`Display`](fmt::Display) form is part of the operator's view (`docs/operating-router.md`).
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LinkState {
    /// Not yet known: no probe has ended.
    #[default]
    Unknown,
    /// Datagrams arrive in both directions.
    Bidirectional,
    /// Datagrams of the other router arrive here; those of the local router do not arrive there.
    InboundOnly,
    /// Datagrams of the local router arrive there; those of the other router do not arrive here.
    OutboundOnly,
    /// Datagrams arrive in neither direction, though third routers receive from both.
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

/// Number of consecutive probes that must agree before a link's state degrades, so that a single lost datagram does not
/// mark a link as broken.
const PROBES_TO_DEGRADE: u32 = 3;

/// State of one link, and the latest probe results that disagree with it.
#[derive(Clone, Debug, Default)]
pub(crate) struct LinkTracker {
    state: LinkState,
    observed: LinkState,
    consecutive_observations: u32,
}

impl LinkTracker {
    pub fn state(&self) -> LinkState {
        self.state
    }

    /// Records the link state shown by one probe. [`LinkState::Bidirectional`] takes effect at once.
    pub fn observe(&mut self, observed: LinkState) {
        if observed == LinkState::Bidirectional {
            *self = LinkTracker { state: observed, observed, consecutive_observations: 0 };
            return;
        }
        self.consecutive_observations =
            if self.observed == observed { self.consecutive_observations + 1 } else { 1 };
        self.observed = observed;
        if self.consecutive_observations >= PROBES_TO_DEGRADE {
            self.state = observed;
        }
    }
}
