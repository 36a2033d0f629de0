//! Schedules of faults, and what must hold once they end.

use super::{Cluster, Disk, HEARTBEAT_INTERVAL, MS, SUSPICION_TIMEOUT};

/// So long a view change may take once all faults have ended.
const MAX_HEALING: u64 = 8 * SUSPICION_TIMEOUT;
const MAX_MACHINES: usize = 12;

/// One step of a random schedule.
#[derive(Clone, Copy, Debug)]
pub enum Fault {
    Kill(usize),
    KillAll,
    Restart(usize),
    /// A disk is lost, alone or while all others lose power.
    Wipe(usize, bool),
    Replace(usize),
    /// A disk goes back by some writes, alone or while all others lose power.
    Restore(usize, usize, bool),
    BlockLink(usize, usize),
    UnblockLinks,
    Suspend(usize),
    Resume(usize),
    Disk(usize, u8),
    /// Loss, duplication and delay, each in a thousand messages.
    Links(u64, u64, u64),
    Propose,
    Read,
    /// For so many milliseconds.
    Wait(u64),
}

impl Cluster {
    /// All disks that count have what was acknowledged: only then may one more be lost.
    fn can_lose_a_disk(&self) -> bool {
        let remaining = self.remaining_machines();
        let up = |machine: &&super::Machine| machine.consensus.is_some() && !machine.suspended;
        let running = self.machines.iter().filter(up).count();
        remaining == running
            && self.all_agree()
            && self.members().len() == remaining
            && self.blocked_links.is_empty()
    }

    fn kill_all_but(&mut self, survivor: Option<usize>) {
        let others = (0..self.machines.len()).filter(|at| Some(*at) != survivor);
        others.for_each(|at| self.kill(at));
    }

    pub fn inject(&mut self, fault: Fault) {
        let count = self.machines.len();
        match fault {
            Fault::Kill(at) => self.kill(at % count),
            Fault::KillAll => self.kill_all_but(None),
            Fault::Restart(at) => self.restart(at % count),
            Fault::Wipe(at, all) => self.wipe_if_tolerated(at % count, all),
            Fault::Replace(at) => self.replace_if_tolerated(at % count),
            Fault::Restore(at, writes, all) => self.restore_if_tolerated(at % count, writes, all),
            Fault::BlockLink(from, to) => {
                let link = (self.machines[from % count].addr, self.machines[to % count].addr);
                self.blocked_links.insert(link);
            }
            Fault::UnblockLinks => self.blocked_links.clear(),
            Fault::Suspend(at) => self.machines[at % count].suspended = true,
            Fault::Resume(at) => self.machines[at % count].suspended = false,
            Fault::Disk(at, kind) => {
                self.set_disk(at % count, [Disk::Healthy, Disk::Hanging, Disk::Full][kind as usize % 3]);
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

    fn wipe_if_tolerated(&mut self, at: usize, all_lose_power: bool) {
        if self.can_lose_a_disk() && !self.machines[at].removed {
            self.wipe_disk(at);
            if all_lose_power {
                self.kill_all_but(None);
            }
        }
    }

    fn replace_if_tolerated(&mut self, at: usize) {
        let has_room = self.machines.len() < MAX_MACHINES;
        if has_room && self.can_lose_a_disk() && !self.machines[at].removed {
            self.replace_machine(at);
        }
    }

    fn restore_if_tolerated(&mut self, at: usize, writes: usize, all_lose_power: bool) {
        if self.can_lose_a_disk() {
            self.restore_older_disk(at, writes);
            if all_lose_power {
                self.kill_all_but(Some(at));
            }
        }
    }

    /// Runs a schedule and ends the faults; returns how long it took until a change was committed again.
    ///
    /// # Errors
    ///
    /// What was violated, or didn't return to normal.
    pub fn run_schedule(&mut self, faults: &[Fault]) -> Result<u64, String> {
        self.run_for(1_000 * MS);
        for fault in faults {
            self.inject(*fault);
            self.run_for(5 * MS);
            self.check_no_violation()?;
        }
        self.heal();
        let took = self.commits_within(MAX_HEALING);
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

    /// A read index at each running replica is confirmed within a heartbeat interval.
    fn check_reads_confirmed(&mut self) -> Result<(), String> {
        let before = self.observed.confirmed_reads;
        self.request_reads();
        self.run_for(HEARTBEAT_INTERVAL);
        let running = self.machines.iter().filter(|machine| machine.consensus.is_some()).count() as u64;
        let confirmed = self.observed.confirmed_reads - before;
        if self.observed.violation.is_none() && confirmed < running {
            return Err(format!("{confirmed} of {running} were confirmed after the faults"));
        }
        Ok(())
    }
}
