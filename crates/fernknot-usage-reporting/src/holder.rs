//! Whether this controller may act as the holder of the role.

use fernknot::interface::Nanos;

/// Fencing token of the role: the number of the view in which the holder acts. It rises with each change of the holder,
/// and a view has one leader.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct ReporterToken(pub u64);

/// Leadership and lease of this controller at a point in time.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LeaseState {
    /// Number of the active view that this controller is a member of; None if there is none.
    pub view: Option<u64>,
    /// Whether this controller leads that view.
    pub is_leader: bool,
    /// Whether a majority has confirmed the view within the lease duration.
    pub has_lease: bool,
    /// Whether this controller is shutting down.
    pub is_stopping: bool,
}

/// View that was activated last at this controller.
#[derive(Clone, Copy, Debug)]
struct ActivatedView {
    number: u64,
    is_leader: bool,
    /// Time from which its leader may act.
    acts_from: Nanos,
}

/// Right of this controller to act, by the views that it was in.
#[derive(Clone, Debug)]
pub(crate) struct HolderRight {
    takeover_wait: Nanos,
    activated: Option<ActivatedView>,
    /// Highest token with which a call was refused because the platform had seen a higher one.
    fenced: Option<ReporterToken>,
}

impl HolderRight {
    pub(crate) fn new(takeover_wait: Nanos) -> HolderRight {
        HolderRight { takeover_wait, activated: None, fenced: None }
    }

    /// Records the activation of a view. The leader of the view just before goes on at once; any other leader waits, so
    /// that the role doesn't return to a holder within a lease.
    pub(crate) fn view_activated(&mut self, now: Nanos, number: u64, is_leader: bool) {
        let previous = self.activated.filter(|previous| previous.is_leader && is_leader);
        let next_number = |previous: &ActivatedView| previous.number.saturating_add(1);
        let previous =
            previous.filter(|previous| (previous.number..=next_number(previous)).contains(&number));
        let acts_from = previous.map_or(now + self.takeover_wait, |previous| previous.acts_from);
        self.activated = Some(ActivatedView { number, is_leader, acts_from });
    }

    /// Records that this controller is in no view any more.
    pub(crate) fn view_left(&mut self) {
        self.activated = None;
    }

    /// Records that the platform has seen a higher token than this one.
    pub(crate) fn fence(&mut self, token: ReporterToken) {
        self.fenced = self.fenced.max(Some(token));
    }

    /// Time from which this controller may act, if it leads.
    pub(crate) fn acts_from(&self) -> Option<Nanos> {
        self.activated.filter(|activated| activated.is_leader).map(|activated| activated.acts_from)
    }

    /// Returns the token under which this controller may act now, or None if it may not.
    pub(crate) fn token(&self, now: Nanos, lease: LeaseState) -> Option<ReporterToken> {
        let activated = self.activated?;
        let token = ReporterToken(activated.number);
        let leads = lease.is_leader && lease.has_lease && !lease.is_stopping;
        let is_current = lease.view == Some(activated.number) && activated.is_leader;
        let is_fenced = self.fenced.is_some_and(|fenced| token <= fenced);
        (leads && is_current && now >= activated.acts_from && !is_fenced).then_some(token)
    }
}
