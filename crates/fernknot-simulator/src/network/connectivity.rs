//! Network delays, partitions, connection resets, and the definition of processes in contact.

use crate::simulation::Simulation;
use crate::time::millis;
use crate::topology::FIRST_SUBSCRIBER;
use fernknot::interface::Nanos;

/// Additional delay of a slow link.
const SLOW_LINK_DELAY: Nanos = millis(200);
/// Maximum random increase of a delay, as a share of its base.
const DELAY_JITTER: f64 = 0.3;

impl Simulation {
    /// Samples a network delay from one process to another. An index stands for a zone, by its remainder modulo
    /// `ZONES`. An index of a machine adds the delay of the machine's slow link, even if it
    /// stands for another process or for a zone.
    pub(crate) fn sample_delay(&self, from: usize, to: usize) -> Nanos {
        let base = self.network.zone_delay(from, to);
        let is_slow = |index: &usize| self.machines.get(*index).is_some_and(|machine| machine.has_slow_link);
        let base = if [from, to].iter().any(is_slow) { base + SLOW_LINK_DELAY } else { base };
        base + self.rng.between(Nanos(0), base.times(DELAY_JITTER))
    }

    /// Begins or ends a partition of the link from one position to another. The opposite direction is not affected.
    pub(crate) fn set_partition(&mut self, from: usize, to: usize, begins: bool) {
        if begins {
            self.network.add_partition(from, to);
        } else {
            self.network.remove_partition(from, to);
        }
        if from < FIRST_SUBSCRIBER && to < FIRST_SUBSCRIBER {
            self.network.core_disturbed_at = self.now;
        }
        self.mark_disturbed(from);
        self.mark_disturbed(to);
        self.partition_peer_connections(from, to, begins);
        if begins {
            self.partition_subscribers(from, to);
            self.partition_gateways(from, to);
        }
    }

    /// Resets all connections of a machine. Messages in flight are lost.
    pub(crate) fn reset_connections(&mut self, index: usize) {
        self.network.core_disturbed_at = self.now;
        self.mark_disturbed(index);
        self.trace(|| format!("{index}: its connections are reset"));
        self.reset_peer_connections(index);
        let incarnation = self.machines[index].incarnation;
        self.drop_control_calls(index, incarnation, false);
        self.drop_subscribers(index, incarnation, false);
        self.drop_gateway_connections(index, incarnation, false);
    }

    fn mark_disturbed(&mut self, position: usize) {
        if let Some(machine) = self.machines.get_mut(position) {
            machine.disturbed_at = self.now;
        }
        self.subscribers.mark_disturbed(position, self.now);
        self.gateways.mark_disturbed(position, self.now);
    }

    /// Returns the running machines that are linked in both directions to a majority of the core, themselves included.
    pub(crate) fn majority_members(&self) -> Vec<usize> {
        let core = self.present_machines().len();
        let running = self.running_machines();
        let reaches_majority = |index: &usize| {
            let reached =
                running.iter().filter(|other| *other == index || self.network.is_linked(*index, **other));
            reached.count() * 2 > core
        };
        running.iter().copied().filter(reaches_majority).collect()
    }

    /// Returns whether the core is stable: undisturbed for the contact time-out, without slow disks or links, with a
    /// machine that reaches a majority, and after the time for which an outage is allowed.
    pub(crate) fn is_core_stable(&self) -> bool {
        if self.now < self.faults.outage_allowed_until {
            return false;
        }
        let is_undisturbed =
            self.now - self.network.core_disturbed_at >= self.settings.bounds.contact_timeout;
        is_undisturbed && self.network.slow_faults == 0 && !self.majority_members().is_empty()
    }

    /// Returns whether the process at a position is in contact: undisturbed for the contact time-out, with links to all
    /// members of the majority, while the core is stable. `disturbed_at` is the time of the process's last disturbance.
    pub(crate) fn is_in_contact(&self, position: usize, disturbed_at: Nanos) -> bool {
        let is_undisturbed = self.now - disturbed_at >= self.settings.bounds.contact_timeout;
        let is_linked = |index: &usize| *index == position || self.network.is_linked(*index, position);
        is_undisturbed && self.is_core_stable() && self.majority_members().iter().all(is_linked)
    }
}
