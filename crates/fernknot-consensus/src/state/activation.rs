//! Activation of the last chosen view, and the views in which this replica may lead.

use fernknot::interface::Nanos;

use crate::types::{View, ViewNumber};

/// Activation of the last chosen view.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct ViewActivation {
    /// Whether this replica knows that the last chosen view is active.
    pub active: bool,
    /// The last active view that has this replica as a member.
    pub entered_view: Option<View>,
    /// The last view in which this process must not lead. An earlier process may have led it, and sent changes that are
    /// not on the disk.
    pub must_not_lead_through: ViewNumber,
    /// Time of the last event that left the view unstable: the start of the process, the adoption of a view, the first
    /// prepared number in it, or a stored change.
    pub unstable_since: Nanos,
}

impl ViewActivation {
    pub fn new(must_not_lead_through: ViewNumber, now: Nanos) -> ViewActivation {
        ViewActivation { active: false, entered_view: None, must_not_lead_through, unstable_since: now }
    }
}
