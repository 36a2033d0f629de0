//! A controller's view of the live gateways, and the assignments that the leader makes from it.

use crate::assignment::{Assignment, GatewayRecord};
use crate::gateway_liveness::GatewayLiveness;
use crate::identifiers::{FencingToken, IncarnationId};
use fernknot::interface::Nanos;

/// A gateway without a heartbeat for this many heartbeat intervals is not live.
const HEARTBEATS_UNTIL_LOST: f64 = 3.5;
/// Heartbeat intervals to wait for further changes, so that many gateways that start at once make one assignment.
const HEARTBEATS_TO_BATCH_CHANGES: f64 = 0.25;
/// Least time between two assignments, in heartbeat intervals.
const MIN_HEARTBEATS_BETWEEN_ASSIGNMENTS: f64 = 0.5;
/// Heartbeat intervals that a controller listens for after a start or a stall before it makes an assignment.
const HEARTBEATS_BEFORE_FIRST_ASSIGNMENT: f64 = 2.0;
/// Least [`confirmation_timeout`], in heartbeat intervals.
const MIN_HEARTBEATS_TO_CONFIRM: f64 = 5.0;

/// Limits and time-outs of an [`Assigner`].
#[derive(Clone, Copy, Debug)]
pub struct AssignerSettings {
    /// Gateways known at once.
    pub max_gateways: usize,
    /// How long a gateway without heartbeats, or after its shutdown, counts in [`Assignment::presumed_alive`]; see
    /// [`presumed_alive_timeout`].
    pub presumed_alive_timeout: Nanos,
}

/// How long a gateway uses its budget share after its assignment was last confirmed as the newest: the time after
/// which all processes are in contact again (`contact`), five heartbeat intervals at least.
pub fn confirmation_timeout(contact: Nanos, heartbeat_interval: Nanos) -> Nanos {
    contact.max(heartbeat_interval.times(MIN_HEARTBEATS_TO_CONFIRM))
}

/// How long a gateway without heartbeats is presumed alive: until it uses no budget share any more and what it spent
/// has left the budget's window.
pub fn presumed_alive_timeout(contact: Nanos, budget_window: Nanos, heartbeat_interval: Nanos) -> Nanos {
    confirmation_timeout(contact, heartbeat_interval) + budget_window
}

/// A lower bound on the number of gateways presumed alive, from an assignment made elsewhere.
#[derive(Clone, Copy, Debug)]
struct PresumedAliveFloor {
    count: u32,
    until: Nanos,
}

/// When changes of the live gateways were seen and acted on.
#[derive(Clone, Debug, Default)]
struct AssignmentPacing {
    listening_since: Option<Nanos>,
    changed_since: Option<Nanos>,
    assigned_at: Option<Nanos>,
}

impl AssignmentPacing {
    /// Whether a change seen by now is to be acted on now.
    fn is_due(&mut self, now: Nanos, heartbeat_interval: Nanos) -> bool {
        let listening_since = *self.listening_since.get_or_insert(now);
        let changed_since = *self.changed_since.get_or_insert(now);
        let has_elapsed = |since: Nanos, heartbeats: f64| now - since >= heartbeat_interval.times(heartbeats);
        self.assigned_at.is_none_or(|at| has_elapsed(at, MIN_HEARTBEATS_BETWEEN_ASSIGNMENTS))
            && has_elapsed(changed_since, HEARTBEATS_TO_BATCH_CHANGES)
            && has_elapsed(listening_since, HEARTBEATS_BEFORE_FIRST_ASSIGNMENT)
    }
}

/// One controller's knowledge of live gateways; the leader's instance makes the assignments.
///
/// Every controller keeps one up to date, so that a new leader can go on from it. Time is an argument and never goes
/// back: an earlier `now` than the latest one counts as that.
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
    /// Knows no gateway yet. `heartbeat_interval` is the time between two heartbeats of a gateway.
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

    /// A gateway's heartbeat came to this controller. Returns false where there is no room for the gateway or it has
    /// shut down.
    pub fn record_heartbeat(&mut self, now: Nanos, gateway: GatewayRecord) -> bool {
        self.liveness.advance_clock(now);
        let incarnation = gateway.incarnation;
        let is_known = self.liveness.merge(gateway);
        self.liveness.mark_unreported(incarnation);
        is_known
    }

    /// Another controller reported gateways whose heartbeats it receives.
    pub fn merge_reported(&mut self, now: Nanos, gateways: &[GatewayRecord]) {
        for gateway in gateways {
            self.liveness.advance_clock(now);
            self.liveness.merge(gateway.clone());
        }
    }

    /// Another controller receives heartbeats of these gateways. Returns those that are unknown here, whose records
    /// are to be requested from it.
    #[must_use]
    pub fn record_peer_heartbeats(
        &mut self,
        now: Nanos,
        incarnations: &[IncarnationId],
    ) -> Vec<IncarnationId> {
        self.liveness.advance_clock(now);
        self.liveness.record_peer_heartbeats(incarnations)
    }

    /// Takes the gateways whose heartbeats came here since the last call, to be reported to the other controllers.
    #[must_use]
    pub fn take_unreported(&mut self, now: Nanos) -> Vec<IncarnationId> {
        self.liveness.advance_clock(now);
        self.liveness.take_unreported()
    }

    /// The records of these gateways, as far as they are known.
    pub fn records_of(&self, incarnations: &[IncarnationId]) -> Vec<GatewayRecord> {
        self.liveness.records_of(incarnations)
    }

    /// A gateway shuts down as planned; other controllers report that too.
    pub fn record_shutdown(&mut self, now: Nanos, incarnation: IncarnationId) {
        self.liveness.advance_clock(now);
        self.liveness.record_shutdown(incarnation);
    }

    /// This process was stalled or partitioned: missing heartbeats prove nothing. Every gateway counts as heard of now.
    pub fn reset_liveness(&mut self, now: Nanos) {
        let now = self.liveness.advance_clock(now);
        self.liveness.reset();
        self.pacing.listening_since = Some(now);
    }

    /// How many gateways may be alive, or were so recently that what they spent still counts against a budget: the
    /// live ones, those lost within the retention, and those that shut down within it.
    pub fn presumed_alive(&mut self, now: Nanos) -> usize {
        self.liveness.advance_clock(now);
        let floor = self.presumed_alive_floor;
        let at_least = if now < floor.until { floor.count as usize } else { 0 };
        self.liveness.remembered().max(at_least)
    }

    /// Takes over an assignment that another controller made, or this one before a restart: fencing tokens go on
    /// from it, and its gateways count as live until they are found silent.
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

    /// The newest assignment known here.
    pub fn latest(&self) -> &Assignment {
        &self.latest
    }

    /// Makes a new assignment where one is due: this controller leads the view, and the live gateways differ from the
    /// newest assignment, or that one is of an earlier view.
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

    /// `None` once all numbers of the view are used.
    fn next_fencing_token(&self, view: u32) -> Option<FencingToken> {
        let count =
            if self.is_of_view(view) { self.latest.fencing_token.count().checked_add(1)? } else { 1 };
        Some(FencingToken::new(view, count))
    }
}
