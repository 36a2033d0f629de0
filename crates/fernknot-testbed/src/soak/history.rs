//! Disturbances of processes in a soak, and the processes that were in contact at a given time.

use crate::cluster::Role;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Time without disturbances after which a gateway is in contact; `contact_ms` of the processes' settings.
pub(crate) const CONTACT_TIMEOUT: Duration = Duration::from_secs(4);

/// Time for which a process was down, exiting or suspended.
#[derive(Clone, Copy, Debug)]
struct Disturbance {
    role: Role,
    number: usize,
    begins_at: Instant,
    /// End of the disturbance; none if it lasts.
    ends_at: Option<Instant>,
    /// Whether responses may be lost: the process was killed or suspended, not asked to exit.
    loses_responses: bool,
}

/// Disturbances of all processes.
#[derive(Debug)]
pub(crate) struct History {
    controllers: usize,
    started_at: Instant,
    disturbances: Vec<Disturbance>,
    /// Starts of each gateway, by which its incarnations are numbered.
    gateway_starts: BTreeMap<usize, Vec<Instant>>,
}

impl History {
    /// Creates the history of a cluster with this number of controllers, all of whose processes have just started.
    pub fn new(controllers: usize) -> History {
        History {
            controllers,
            started_at: Instant::now(),
            disturbances: Vec::new(),
            gateway_starts: BTreeMap::new(),
        }
    }

    /// Records that a disturbance begins now.
    pub fn begin(&mut self, role: Role, number: usize, loses_responses: bool) {
        let begins_at = Instant::now();
        self.disturbances.push(Disturbance { role, number, begins_at, ends_at: None, loses_responses });
    }

    /// Records that the last disturbance of a process ends now. `is_start` if the process has been started again.
    pub fn end(&mut self, role: Role, number: usize, is_start: bool) {
        let now = Instant::now();
        let mut disturbances = self.disturbances.iter_mut().rev();
        let last = disturbances.find(|disturbance| (disturbance.role, disturbance.number) == (role, number));
        if let Some(last) = last {
            last.ends_at = Some(now);
        }
        if is_start && role == Role::Gateway {
            self.gateway_starts.entry(number).or_default().push(now);
        }
    }

    /// Returns the number of starts of a gateway before `time`, the first one of the cluster excepted.
    pub fn incarnation(&self, gateway: usize, time: Instant) -> u64 {
        let starts = self.gateway_starts.get(&gateway).map(Vec::as_slice).unwrap_or_default();
        starts.iter().filter(|start| **start <= time).count() as u64
    }

    /// Returns whether a gateway was in contact at `time`: neither it nor the core had been disturbed for the contact
    /// time-out, and a majority of the controllers ran.
    pub fn is_in_contact(&self, gateway: usize, time: Instant) -> bool {
        let since = time.checked_sub(CONTACT_TIMEOUT).unwrap_or(time);
        let is_calm = since >= self.started_at
            && self.overlapping(Role::Gateway, since, time).all(|disturbance| disturbance.number != gateway);
        let is_core_stable = self
            .overlapping(Role::Controller, since, time)
            .all(|disturbance| disturbance.begins_at < since && disturbance.is_active_at(time));
        let down = self.overlapping(Role::Controller, time, time).count();
        is_calm && is_core_stable && (self.controllers - down.min(self.controllers)) * 2 > self.controllers
    }

    /// Returns whether a gateway may lose the response to a request that was in progress in this interval.
    pub fn may_lose_response(&self, gateway: usize, from: Instant, to: Instant) -> bool {
        let since = from.checked_sub(CONTACT_TIMEOUT).unwrap_or(from);
        let mut disturbances = self.overlapping(Role::Gateway, since, to);
        disturbances.any(|disturbance| disturbance.number == gateway && disturbance.loses_responses)
    }

    fn overlapping(&self, role: Role, from: Instant, to: Instant) -> impl Iterator<Item = &Disturbance> {
        let overlaps = move |disturbance: &&Disturbance| {
            disturbance.role == role
                && disturbance.begins_at <= to
                && disturbance.ends_at.is_none_or(|ends_at| ends_at >= from)
        };
        self.disturbances.iter().filter(overlaps)
    }
}

impl Disturbance {
    fn is_active_at(&self, time: Instant) -> bool {
        self.ends_at.is_none_or(|ends_at| ends_at > time)
    }
}
