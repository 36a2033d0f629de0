//! Schedules of faults, and the conditions that must hold after they end.

use super::{Cluster, Disk, HEARTBEAT_INTERVAL, MS, SUSPICION_TIMEOUT};

/// Maximum time in nanoseconds from the end of all faults to the next commit.
const MAX_RECOVERY_TIME: u64 = 8 * SUSPICION_TIMEOUT;
const MAX_MACHINES: usize = 12;

/// One step of a random schedule.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill(usize),
    KillAll,
    Restart(usize),
    /// Wipes a disk; if the flag is set, all other machines lose power, too.
    Wipe(usize, bool),
    Replace(usize),
    /// Undoes a number of writes of a disk; if the flag is set, all other machines lose power, too.
    Restore(usize, usize, bool),
    BlockLink(usize, usize),
    UnblockLinks,
    Suspend(usize),
    Resume(usize),
    /// Makes the disk of the machine with this index healthy (0), hanging (1) or full (2); the number counts modulo
    /// 3.
    Disk(usize, u8),
    /// Sets the rates of lost, duplicated and delayed messages, each per thousand.
    Links(u64, u64, u64),
    Propose,
    Read,
    /// Lets this number of milliseconds pass.
    Wait(u64),
}

impl Cluster {
    /// Whether all disks have the committed state: only then may one be lost.
    fn can_lose_a_disk(&self) -> bool {
        let remaining = self.remaining_machines();
        let is_running = |machine: &&super::Machine| machine.consensus.is_some() && !machine.suspended;
        let running = self.machines.iter().filter(is_running).count();
        remaining == running
            && self.all_agree()
            && self.members().len() == remaining
            && self.blocked_links.is_empty()
    }

    fn kill_all_but(&mut self, survivor: Option<usize>) {
        let others = (0..self.machines.len()).filter(|index| Some(*index) != survivor);
        others.for_each(|index| self.kill(index));
    }

    pub fn inject(&mut self, fault: Fault) {
        let count = self.machines.len();
        match fault {
            Fault::Kill(index) => self.kill(index % count),
            Fault::KillAll => self.kill_all_but(None),
            Fault::Restart(index) => self.restart(index % count),
            Fault::Wipe(index, all) => self.wipe_if_tolerated(index % count, all),
            Fault::Replace(index) => self.replace_if_tolerated(index % count),
            Fault::Restore(index, writes, all) => self.restore_if_tolerated(index % count, writes, all),
            Fault::BlockLink(from, to) => {
                let link = (self.machines[from % count].addr, self.machines[to % count].addr);
                self.blocked_links.insert(link);
            }
            Fault::UnblockLinks => self.blocked_links.clear(),
            Fault::Suspend(index) => self.machines[index % count].suspended = true,
            Fault::Resume(index) => self.machines[index % count].suspended = false,
            Fault::Disk(index, kind) => {
                self.set_disk(index % count, [Disk::Healthy, Disk::Hanging, Disk::Full][kind as usize % 3]);
            }
            Fault::Links(loss, duplication, delay) => {
                self.loss_per_mille = loss;
                self.duplication_per_mille = duplication;
                self.delay_per_mille = delay;
            }
            Fault::Propose => _ = self.propose(),
            Fault::Read => self.request_reads(),
            Fault::Wait(millis) => self.run_for(millis * MS),
        }
    }

    fn wipe_if_tolerated(&mut self, index: usize, all_lose_power: bool) {
        if self.can_lose_a_disk() && !self.machines[index].removed {
            self.wipe_disk(index);
            if all_lose_power {
                self.kill_all_but(None);
            }
        }
    }

    fn replace_if_tolerated(&mut self, index: usize) {
        let has_room = self.machines.len() < MAX_MACHINES;
        if has_room && self.can_lose_a_disk() && !self.machines[index].removed {
            self.replace_machine(index);
        }
    }

    fn restore_if_tolerated(&mut self, index: usize, writes: usize, all_lose_power: bool) {
        if self.can_lose_a_disk() {
            self.restore_older_disk(index, writes);
            if all_lose_power {
                self.kill_all_but(Some(index));
            }
        }
    }

    /// Runs a schedule and ends the faults. Returns the time in nanoseconds until a change was committed again.
    ///
    /// # Errors
    ///
    /// A violated rule, or a condition that doesn't hold after the faults.
    pub fn run_schedule(&mut self, faults: &[Fault]) -> Result<u64, String> {
        self.run_for(1_000 * MS);
        for fault in faults {
            self.inject(*fault);
            self.run_for(5 * MS);
            self.check_no_violation()?;
        }
        self.heal();
        let took = self.commits_within(MAX_RECOVERY_TIME);
        self.run_for(6 * SUSPICION_TIMEOUT);
        self.commits_within(SUSPICION_TIMEOUT);
        self.check_reads_confirmed()?;
        self.run_for(SUSPICION_TIMEOUT);
        self.check_no_violation()?;
        let took = took.ok_or("nothing is committed after the faults")?;
        let remaining = self.remaining_machines();
        if !self.all_agree() || self.members().len() != remaining {
            return Err(format!("not all in one view after the faults: {:?} of {remaining}", self.members()));
        }
        Ok(took)
    }

    fn check_no_violation(&self) -> Result<(), String> {
        self.observed.violation.clone().map_or(Ok(()), Err)
    }

    /// Checks that a read index at each running replica is confirmed within a heartbeat interval.
    fn check_reads_confirmed(&mut self) -> Result<(), String> {
        let before = self.observed.confirmed_reads;
        self.request_reads();
        self.run_for(HEARTBEAT_INTERVAL);
        let running = self.machines.iter().filter(|machine| machine.consensus.is_some()).count() as u64;
        let confirmed = self.observed.confirmed_reads - before;
        if self.observed.violation.is_none() && confirmed < running {
            return Err(format!("{confirmed} of {running} read indexes were confirmed after the faults"));
        }
        Ok(())
    }
}
