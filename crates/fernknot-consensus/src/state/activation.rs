//! Whether the last chosen view is active, and where this replica may lead.

use fernknot::interface::Nanos;

use crate::types::{View, ViewNumber};

/// Whether the last chosen view is active.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ViewActivation {
    /// The last chosen view is active, as far as this replica knows.
    pub active: bool,
    /// The last active view that this replica is a member of.
    pub entered_view: Option<View>,
    /// In views up to this one, this process must not lead: an earlier process may have led it, and sent changes that
    /// its disk doesn't have.
    pub must_not_lead_through: ViewNumber,
    /// Since when the view is not active or changing, or a change is in flight.
    pub unstable_since: Nanos,
}

impl ViewActivation {
    pub fn new(must_not_lead_through: ViewNumber, now: Nanos) -> ViewActivation {
        ViewActivation { active: false, entered_view: None, must_not_lead_through, unstable_since: now }
    }
}
