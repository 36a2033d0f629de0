//! Start, disk, settings and shutdown.

use super::state::Controller;
use crate::counters as counter;
use crate::seeded_bug::SeededBug;
use fernknot::interface::Nanos;
use fernknot_consensus::{Consensus, MemberId, PersistentState, View, WriteId};
use fernknot_telemetry::part;
use log::Level;
use std::net::SocketAddrV4;

/// Rotation that makes the seed of the consensus member from that of the process.
const CONSENSUS_SEED_ROTATION: u32 = 17;

impl Controller {
    /// The disk has been read: `state` is what the consensus member had stored there, if it can be read, and `known`
    /// the addresses of other controllers. `disk_is_empty` says that nothing was stored, readable or not.
    pub fn disk_loaded(
        &mut self,
        now: Nanos,
        state: Option<PersistentState>,
        known: &[SocketAddrV4],
        disk_is_empty: bool,
    ) {
        self.advance_clock(now);
        let new_id = MemberId(self.settings.seed.max(1));
        let id = state.as_ref().map_or(new_id, |state| state.member_id);
        let settings = self.settings.consensus_settings(id, self.settings.bootstrap && disk_is_empty);
        let bug = match self.seeded_bug {
            Some(SeededBug::Consensus(bug)) => Some(bug),
            _ => None,
        };
        let seed = self.settings.seed.rotate_left(CONSENSUS_SEED_ROTATION);
        let mut member = Consensus::with_seeded_bug(seed, settings, state, now, bug);
        for addr in known {
            self.peers.add(now, *addr);
            member.add_address(now, *addr);
        }
        self.consensus.start(now, member);
    }

    /// A write that [`Action::Store`](crate::Action::Store) asked for has ended; `ok` where it is on disk.
    pub fn write_completed(&mut self, now: Nanos, write_id: WriteId, ok: bool) {
        self.advance_clock(now);
        self.consensus.handle_write_result(now, write_id, ok);
        if !ok {
            self.counters.add(counter::DISK_FAILURES, 1);
        }
    }

    /// How the disk is, as far as the host sees: unhealthy when it hangs, or could not be opened.
    pub fn set_disk_health(&mut self, now: Nanos, is_healthy: bool) {
        self.advance_clock(now);
        if self.disk.is_healthy == is_healthy {
            return;
        }
        self.disk.is_healthy = is_healthy;
        // At a start, the directory is first built anew: that is no fault.
        match (is_healthy, self.disk.has_recovered) {
            (true, true) => self.actions.log(Level::Info, part::STORAGE, "is healthy again"),
            (true, false) => self.disk.has_recovered = true,
            (false, true) => self.actions.log(Level::Warn, part::STORAGE, "hangs or rejects writes"),
            (false, false) => {}
        }
        self.report_disk_health();
    }

    /// A controller whose disk is unhealthy, or that is about to stop, stores nothing further: the others go on.
    fn report_disk_health(&mut self) {
        let stores = self.disk.is_healthy && !self.shutting_down;
        self.consensus.set_disk_healthy(self.now(), stores);
    }

    /// The settings name these controllers now, or a neighbour knows them.
    pub fn add_seeds(&mut self, now: Nanos, seeds: &[SocketAddrV4]) {
        self.advance_clock(now);
        seeds.iter().for_each(|seed| self.add_peer(*seed));
    }

    /// Begins a graceful shutdown: the others leave this member out, and another one leads.
    pub fn begin_shutdown(&mut self, now: Nanos) {
        self.advance_clock(now);
        self.shutting_down = true;
        self.report_disk_health();
    }

    /// The active view, as far as this controller knows, if it is in one; the first member leads.
    pub fn active_view(&self) -> Option<&View> {
        self.consensus.view()
    }

    /// Whether nobody waits for anything here any more, so that the process may end.
    pub fn can_exit(&self) -> bool {
        let is_alone = self.consensus.view().is_none_or(|view| view.members.len() < 2);
        let is_led_by_other = self.consensus.leader().is_none_or(|leader| leader.addr != self.settings.addr);
        let is_out = !self.consensus.is_leader() && is_led_by_other;
        (is_alone || is_out) && self.changes.is_empty() && self.reads.is_empty()
    }
}
