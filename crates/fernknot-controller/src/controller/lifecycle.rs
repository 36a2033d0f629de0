//! Start, disk, seeds and shutdown.

use super::state::Controller;
use crate::counters as counter;
use crate::seeded_bug::SeededBug;
use fernknot::interface::Nanos;
use fernknot_consensus::{Consensus, MemberId, PersistentState, View, WriteId};
use fernknot_telemetry::component;
use log::Level;
use std::net::SocketAddrV4;

/// Rotation, in bits, that derives the seed of the consensus member from the seed of the process.
const CONSENSUS_SEED_ROTATION: u32 = 17;

impl Controller {
    /// Starts the consensus member after the disk has been read. `state` is the member's stored state, if it can be
    /// decoded; `known_peers` holds the stored addresses of other controllers. `disk_is_empty` is true if nothing was
    /// stored, decodable or not.
    pub fn disk_loaded(
        &mut self,
        now: Nanos,
        state: Option<PersistentState>,
        known_peers: &[SocketAddrV4],
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
        for addr in known_peers {
            self.peers.add(now, *addr);
            member.add_address(now, *addr);
        }
        self.consensus.start(now, member);
    }

    /// Handles the end of a write requested by [`Action::Store`](crate::Action::Store); `ok` is true if the state is
    /// on disk.
    pub fn write_completed(&mut self, now: Nanos, write_id: WriteId, ok: bool) {
        self.advance_clock(now);
        self.consensus.handle_write_result(now, write_id, ok);
        if !ok {
            self.counters.add(counter::DISK_FAILURES, 1);
        }
    }

    /// Sets the health of the disk as observed by the host: unhealthy if writes hang or the directory could not be
    /// opened.
    pub fn set_disk_health(&mut self, now: Nanos, is_healthy: bool) {
        self.advance_clock(now);
        if self.disk.is_healthy == is_healthy {
            return;
        }
        self.disk.is_healthy = is_healthy;
        // At start, the disk is unhealthy until the storage directory has been rebuilt, which is no fault to log.
        match (is_healthy, self.disk.has_recovered) {
            (true, true) => self.actions.log(
                Level::Info,
                component::STORAGE,
                "the disk is healthy again; resuming writes",
            ),
            (true, false) => self.disk.has_recovered = true,
            (false, true) => self.actions.log(
                Level::Warn,
                component::STORAGE,
                "the disk hangs or rejects writes; storing nothing until it recovers",
            ),
            (false, false) => {}
        }
        self.report_disk_health();
    }

    /// Reports to the consensus member whether it may store further states. With an unhealthy disk, or during a
    /// shutdown, it may not, and the other members continue without it.
    fn report_disk_health(&mut self) {
        let may_store = self.disk.is_healthy && !self.shutting_down;
        self.consensus.set_disk_healthy(self.now(), may_store);
    }

    /// Adds controllers listed in the settings or found by peer sampling, with their internal addresses.
    pub fn add_seeds(&mut self, now: Nanos, seeds: &[SocketAddrV4]) {
        self.advance_clock(now);
        seeds.iter().for_each(|seed| self.add_peer(*seed));
    }

    /// Starts a graceful shutdown: the other members remove this one from the view, and another one leads.
    pub fn begin_shutdown(&mut self, now: Nanos) {
        self.advance_clock(now);
        self.shutting_down = true;
        self.report_disk_health();
    }

    /// Active view, if this controller is in one; its first member leads.
    pub fn active_view(&self) -> Option<&View> {
        self.consensus.view()
    }

    /// Whether the process may exit: no change and no read index request is pending, and this controller doesn't lead
    /// a view with other members.
    pub fn can_exit(&self) -> bool {
        let is_alone = self.consensus.view().is_none_or(|view| view.members.len() < 2);
        let is_not_view_leader =
            self.consensus.leader().is_none_or(|leader| leader.addr != self.settings.addr);
        let is_not_leading = !self.consensus.is_leader() && is_not_view_leader;
        (is_alone || is_not_leading) && self.changes.is_empty() && self.read_indexes.is_empty()
    }
}
