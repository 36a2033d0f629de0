//! Faults of the machines of a cluster, and of the network between them.

use super::{Cluster, Event, ONE_WAY_DELAY, SYNC_DURATION, WriteMode, ms};
use fernknot::interface::Nanos;

impl Cluster {
    /// Kills the process of a controller; its disk keeps its contents.
    pub fn kill(&mut self, machine_id: usize) {
        self.frozen.remove(&machine_id);
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        machine.controller = None;
        machine.pending_writes.clear();
        self.events.retain(|_, event| match event {
            Event::Message(from, _, _) | Event::Connected(from, _) | Event::Disconnected(from, _) => {
                *from != machine_id
            }
            Event::Stored(on, ..) | Event::PlatformConnected(on, ..) | Event::PlatformAnswered(on, ..) => {
                *on != machine_id
            }
            // The request is on its way.
            Event::PlatformReceived(..) => true,
        });
        let others: Vec<usize> = self.machines.keys().copied().filter(|other| *other != machine_id).collect();
        others
            .into_iter()
            .for_each(|other| self.schedule(ONE_WAY_DELAY, Event::Disconnected(other, machine_id)));
    }

    /// Switches a machine off until its controller is started.
    pub fn power_off(&mut self, machine_id: usize) {
        self.kill(machine_id);
        self.powered_off.insert(machine_id);
    }

    /// Sets the clock back to its start and drops all events, as each process measures time from its own start. No
    /// controller may be running.
    pub fn restart_clock(&mut self) {
        self.events.clear();
        self.now = Nanos(1);
    }

    /// Removes a machine together with its disk.
    pub fn remove(&mut self, machine_id: usize) {
        self.kill(machine_id);
        self.machines.remove(&machine_id);
    }

    /// Erases the disk of a machine.
    pub fn wipe(&mut self, machine_id: usize) {
        if let Some(machine) = self.machines.get_mut(&machine_id) {
            (machine.disk, machine.known_peers) = (None, Vec::new());
        }
    }

    pub fn set_write_mode(&mut self, machine_id: usize, write_mode: WriteMode) {
        let Some(machine) = self.machines.get_mut(&machine_id) else { return };
        machine.write_mode = write_mode;
        let pending_writes = std::mem::take(&mut machine.pending_writes);
        if write_mode == WriteMode::Hang {
            machine.pending_writes = pending_writes;
        } else {
            pending_writes.into_iter().for_each(|(write_id, state)| {
                self.schedule(SYNC_DURATION, Event::Stored(machine_id, write_id, state))
            });
        }
    }

    /// Partitions a machine from all others, in both directions.
    pub fn partition(&mut self, machine_id: usize) {
        let others: Vec<usize> = self.machines.keys().copied().filter(|other| *other != machine_id).collect();
        for other in others {
            self.partitions.extend([(machine_id, other), (other, machine_id)]);
            self.schedule(ms(1000), Event::Disconnected(machine_id, other));
            self.schedule(ms(1000), Event::Disconnected(other, machine_id));
        }
    }

    /// Drops all messages from one machine to another, including those in flight; the opposite direction is not
    /// affected.
    pub fn partition_one_way(&mut self, from: usize, to: usize) {
        self.partitions.insert((from, to));
    }

    /// Stops the processes of a machine until [`thaw`](Self::thaw); what they are sent waits in the machine's buffers.
    pub fn freeze(&mut self, machine_id: usize) {
        self.frozen.entry(machine_id).or_default();
    }

    pub fn thaw(&mut self, machine_id: usize) {
        for event in self.frozen.remove(&machine_id).into_iter().flatten() {
            self.schedule(Nanos(0), event);
        }
    }

    pub fn heal(&mut self) {
        self.partitions.clear();
    }
}
