//! A controller's knowledge of the live gateways, and the assignments that the leader makes from it.

use crate::assignment::{Assignment, GatewayRecord};
use crate::gateway_liveness::GatewayLiveness;
use crate::identifiers::{FencingToken, IncarnationId};
use fernknot::interface::Nanos;

/// Number of heartbeat intervals without a heartbeat after which a gateway is not live.
const HEARTBEATS_UNTIL_LOST: f64 = 3.5;
/// Time to wait for further changes, in heartbeat intervals, so that many gateways that start at once cause only one
/// assignment.
const HEARTBEATS_TO_BATCH_CHANGES: f64 = 0.25;
/// Minimum time between two assignments, in heartbeat intervals.
const MIN_HEARTBEATS_BETWEEN_ASSIGNMENTS: f64 = 0.5;
/// Time for which a controller collects heartbeats after a start or a stall before it makes an assignment, in heartbeat
/// intervals.
const HEARTBEATS_BEFORE_FIRST_ASSIGNMENT: f64 = 2.0;
/// Minimum [`confirmation_timeout`], in heartbeat intervals.
const MIN_HEARTBEATS_TO_CONFIRM: f64 = 5.0;

/// Limits and time-outs of an [`Assigner`].
#[derive(Clone, Copy, Debug)]
pub struct AssignerSettings {
    /// Maximum number of known gateways.
    pub max_gateways: usize,
    /// Time for which a gateway counts in [`Assignment::presumed_alive`] after its last heartbeat or its shutdown; see
    /// [`presumed_alive_timeout`].
    pub presumed_alive_timeout: Nanos,
}

/// Time for which a gateway uses its budget share after its assignment was last confirmed as the newest: the time
/// `contact` (`contact_ms` of the settings) after which a machine that is connected again counts as in contact, but at
/// least five heartbeat intervals.
pub fn confirmation_timeout(contact: Nanos, heartbeat_interval: Nanos) -> Nanos {
    contact.max(heartbeat_interval.times(MIN_HEARTBEATS_TO_CONFIRM))
}

/// Time for which a gateway without heartbeats is presumed alive: until it no longer uses its budget share and its
/// spending has left the budget window.
pub fn presumed_alive_timeout(contact: Nanos, budget_window: Nanos, heartbeat_interval: Nanos) -> Nanos {
    confirmation_timeout(contact, heartbeat_interval) + budget_window
}

/// Lower bound on the number of gateways presumed alive, from an assignment that this controller has learned. It holds
/// until the gateways counted there and unknown here have certainly stopped spending.
#[derive(Clone, Copy, Debug)]
struct PresumedAliveFloor {
    count: u32,
    until: Nanos,
}

/// Times that limit the rate of assignments.
#[derive(Clone, Debug, Default)]
struct AssignmentPacing {
    /// Start of collecting heartbeats: the first call as a leader, or the last reset of the liveness after a stall.
    listening_since: Option<Nanos>,
    /// Time since which the gateways have differed from the newest assignment.
    changed_since: Option<Nanos>,
    /// Time of the last assignment.
    assigned_at: Option<Nanos>,
}

impl AssignmentPacing {
    /// Whether an assignment is due now for a change of the live gateways.
    fn is_due(&mut self, now: Nanos, heartbeat_interval: Nanos) -> bool {
        let listening_since = *self.listening_since.get_or_insert(now);
        let changed_since = *self.changed_since.get_or_insert(now);
        let has_elapsed = |since: Nanos, heartbeats: f64| now - since >= heartbeat_interval.times(heartbeats);
        self.assigned_at.is_none_or(|at| has_elapsed(at, MIN_HEARTBEATS_BETWEEN_ASSIGNMENTS))
            && has_elapsed(changed_since, HEARTBEATS_TO_BATCH_CHANGES)
            && has_elapsed(listening_since, HEARTBEATS_BEFORE_FIRST_ASSIGNMENT)
    }
}

/// State of one controller for the assignment of keys; only the leader's instance makes assignments.
///
/// Every controller keeps it up to date, so that a new leader can continue from it. Time is an argument and never goes
/// back: a `now` before the latest one is treated as the latest one.
#[derive(Clone, Debug)]
pub struct Assigner {
    heartbeat_interval: Nanos,
    presumed_alive_timeout: Nanos,
    liveness: GatewayLiveness,
    pacing: AssignmentPacing,
    latest: Assignment,
    presumed_alive_floor: PresumedAliveFloor,
}

impl Assigner {
    /// Creates an assigner without gateways. `heartbeat_interval` is the time between two heartbeats of a gateway.
    pub fn new(heartbeat_interval: Nanos, settings: AssignerSettings) -> Assigner {
        let heartbeat_interval = Nanos(heartbeat_interval.0.max(1));
        let retention = settings.presumed_alive_timeout.max(heartbeat_interval.times(HEARTBEATS_UNTIL_LOST));
        Assigner {
            heartbeat_interval,
            presumed_alive_timeout: settings.presumed_alive_timeout,
            liveness: GatewayLiveness::new(settings.max_gateways, retention),
            pacing: AssignmentPacing::default(),
            latest: Assignment::default(),
            presumed_alive_floor: PresumedAliveFloor { count: 0, until: Nanos(0) },
        }
    }

    /// Records a heartbeat that this controller received from a gateway. Returns false if there are too many gateways
    /// or it has shut down.
    pub fn record_heartbeat(&mut self, now: Nanos, gateway: GatewayRecord) -> bool {
        self.liveness.advance_clock(now);
        let incarnation = gateway.incarnation;
        let is_known = self.liveness.merge(gateway);
        self.liveness.mark_unreported(incarnation);
        is_known
    }

    /// Records gateways that another controller reported as live.
    pub fn merge_reported(&mut self, now: Nanos, gateways: &[GatewayRecord]) {
        for gateway in gateways {
            self.liveness.advance_clock(now);
            self.liveness.merge(gateway.clone());
        }
    }

    /// Records that another controller receives heartbeats of these gateways. Returns the ones that are unknown here;
    /// their records have to be requested from that controller.
    #[must_use]
    pub fn record_peer_heartbeats(
        &mut self,
        now: Nanos,
        incarnations: &[IncarnationId],
    ) -> Vec<IncarnationId> {
        self.liveness.advance_clock(now);
        self.liveness.record_peer_heartbeats(incarnations)
    }

    /// Takes the gateways whose heartbeats this controller received since the last call, to report them to the other
    /// controllers.
    #[must_use]
    pub fn take_unreported(&mut self, now: Nanos) -> Vec<IncarnationId> {
        self.liveness.advance_clock(now);
        self.liveness.take_unreported()
    }

    /// Returns the records of the known gateways among these.
    pub fn records_of(&self, incarnations: &[IncarnationId]) -> Vec<GatewayRecord> {
        self.liveness.records_of(incarnations)
    }

    /// Records a gateway's graceful shutdown, announced by itself or reported by another controller.
    pub fn record_shutdown(&mut self, now: Nanos, incarnation: IncarnationId) {
        self.liveness.advance_clock(now);
        self.liveness.record_shutdown(incarnation);
    }

    /// Treats every known gateway as alive now, after a stall or partition of this process in which heartbeats may have
    /// been missed.
    pub fn reset_liveness(&mut self, now: Nanos) {
        let now = self.liveness.advance_clock(now);
        self.liveness.reset();
        self.pacing.listening_since = Some(now);
    }

    /// Number of gateways that may be alive, or whose spending still counts against a budget: the live ones, and those
    /// lost or shut down within [`AssignerSettings::presumed_alive_timeout`]. It is at least the number in an
    /// assignment learned within that time.
    pub fn presumed_alive(&mut self, now: Nanos) -> usize {
        self.liveness.advance_clock(now);
        let floor = self.presumed_alive_floor;
        let at_least = if now < floor.until { floor.count as usize } else { 0 };
        self.liveness.remembered_count().max(at_least)
    }

    /// Adopts an assignment made by another controller, or by this one before a restart: later fencing tokens continue
    /// from it, and its gateways count as live until their heartbeats time out.
    pub fn learn_assignment(&mut self, now: Nanos, assignment: &Assignment) {
        let now = self.liveness.advance_clock(now);
        if assignment.fencing_token <= self.latest.fencing_token {
            return;
        }
        self.latest = assignment.clone().sorted();
        let until = now + self.presumed_alive_timeout;
        self.presumed_alive_floor = PresumedAliveFloor { count: assignment.presumed_alive, until };
        for gateway in &assignment.gateways {
            if !self.liveness.contains(gateway.incarnation) {
                self.liveness.merge(gateway.clone());
            }
        }
    }

    /// Newest assignment known to this controller.
    pub fn latest(&self) -> &Assignment {
        &self.latest
    }

    /// Makes a new assignment if one is due: this controller leads the view, and either the gateways differ from the
    /// newest assignment or that assignment is of an earlier view.
    #[must_use]
    pub fn reassign(&mut self, now: Nanos, view: u32, is_leader: bool) -> Option<Assignment> {
        let time = self.liveness.advance_clock(now);
        if !is_leader || view < self.latest.fencing_token.view() {
            return None;
        }
        self.pacing.listening_since.get_or_insert(time);
        let gateways = self.liveness.live_within(self.heartbeat_interval.times(HEARTBEATS_UNTIL_LOST));
        let presumed_alive = self.presumed_alive(now) as u32;
        if self.is_of_view(view)
            && gateways == self.latest.gateways
            && presumed_alive == self.latest.presumed_alive
        {
            self.pacing.changed_since = None;
            return None;
        }
        let has_gateways = !gateways.is_empty() || !self.latest.gateways.is_empty();
        if !self.pacing.is_due(time, self.heartbeat_interval) || !has_gateways {
            return None;
        }
        let fencing_token = self.next_fencing_token(view)?;
        self.latest = Assignment { fencing_token, gateways, presumed_alive };
        self.pacing.assigned_at = Some(time);
        self.pacing.changed_since = None;
        Some(self.latest.clone())
    }

    /// Whether the newest assignment was made in this view.
    fn is_of_view(&self, view: u32) -> bool {
        self.latest.fencing_token.view() == view && self.latest.fencing_token != FencingToken::default()
    }

    /// Next fencing token of the view; `None` once all numbers of the view are used.
    fn next_fencing_token(&self, view: u32) -> Option<FencingToken> {
        let number =
            if self.is_of_view(view) { self.latest.fencing_token.number().checked_add(1)? } else { 1 };
        Some(FencingToken::new(view, number))
    }
}
