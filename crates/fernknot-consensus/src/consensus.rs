//! Public interface of the state machine: each input updates the replica's state, and the host (the program that
//! drives the state machine) polls actions until there are none. This module only routes inputs; each concern has a
//! module of its own.

use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use crate::replica::Replica;
use crate::state::recovery::ReceivedMessage;
use crate::types::{
    Action, ConsensusSettings, ForceViewError, Member, Message, PersistentState, ReadIndexId, Revision,
    SeededBug, View, ViewNumber, ViewStatus, WriteId,
};
use crate::validation::is_valid_message;
use crate::view_change::{AcceptRequest, PreparedReply};

/// Replica of the control state, as a state machine without I/O.
///
/// `now` in all calls is the time of the host's monotonic clock. After each input the host calls
/// [`Consensus::poll_action`] until it returns `None`.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    replica: Replica,
}

impl Consensus {
    /// Starts a replica. `seed` must differ from start to start. `saved` is the state that the host wrote last, or
    /// `None` if the disk is empty; a state with another member id is ignored.
    #[must_use]
    pub fn new(
        seed: u64,
        settings: ConsensusSettings,
        saved: Option<PersistentState>,
        now: Nanos,
    ) -> Consensus {
        Consensus::with_seeded_bug(seed, settings, saved, now, None)
    }

    /// Starts a replica like [`Consensus::new`], with a bug that a checker must detect.
    #[doc(hidden)]
    #[must_use]
    pub fn with_seeded_bug(
        seed: u64,
        settings: ConsensusSettings,
        saved: Option<PersistentState>,
        now: Nanos,
        seeded_bug: Option<SeededBug>,
    ) -> Consensus {
        Consensus { replica: Replica::new(seed, settings, saved, now, seeded_bug) }
    }

    // Inputs.

    /// Handles a message from the replica that listens at `from`.
    pub fn handle_message(&mut self, now: Nanos, from: SocketAddrV4, message: Message) {
        self.replica.clock.advance(now);
        if is_valid_message(&message) {
            self.dispatch(from, message);
        }
        self.finish_step();
    }

    /// Handles the host's result of the write `write_id`. If `ok` is false, the content of the disk is treated as
    /// unknown, and the state is written again later. A result of any write but the one in flight is ignored.
    pub fn handle_write_result(&mut self, now: Nanos, write_id: WriteId, ok: bool) {
        self.replica.clock.advance(now);
        self.replica.handle_write_result(write_id, ok);
        self.finish_step();
    }

    /// Records the health of the disk as the host sees it, for example that it hangs or is full. While the disk is
    /// unhealthy, the replica begins no write, accepts no change and starts no attempt to change the view.
    pub fn set_disk_healthy(&mut self, now: Nanos, healthy: bool) {
        self.replica.clock.advance(now);
        let changed = self.replica.disk.set_healthy(healthy);
        self.replica.heartbeat_timer.request_if(changed);
        self.finish_step();
    }

    /// Adds an address at which another replica may listen, discovered by the host.
    pub fn add_address(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.replica.clock.advance(now);
        let is_new = self.replica.peers.add_address(addr);
        self.replica.heartbeat_timer.request_if(is_new);
        self.finish_step();
    }

    /// Requests an early heartbeat because the host has a new connection to a replica; earlier messages to it were
    /// lost. Without this, a restart of all replicas would mostly wait for the next heartbeat interval.
    pub fn handle_connected(&mut self, now: Nanos) {
        self.replica.clock.advance(now);
        self.replica.heartbeat_timer.request();
        self.finish_step();
    }

    /// Proposes `state` as the complete state that follows revision `base`. Only the leader accepts it, and only if
    /// `base` is the last assigned revision, counting queued changes, its disk is healthy and its queue isn't full.
    /// The result is [`Action::Committed`] or [`Action::Rejected`]; if the view changes meanwhile, there may be none.
    pub fn propose(&mut self, now: Nanos, change_id: u64, base: Revision, state: Vec<u8>) {
        self.replica.clock.advance(now);
        self.replica.accept_change(change_id, base, state);
        self.finish_step();
    }

    /// Requests a read index. [`Action::ReadIndexConfirmed`] follows once a majority of the voters has confirmed
    /// after this call that the view is still current, and all that was committed before this call has been delivered
    /// here. It may never follow. Returns false if too many read indexes are pending.
    #[must_use = "if it is false, the read index is never confirmed"]
    pub fn read_index(&mut self, now: Nanos, read_index: ReadIndexId) -> bool {
        self.replica.clock.advance(now);
        if !self.replica.request_read_index(read_index) {
            return false;
        }
        self.finish_step();
        true
    }

    /// Cancels a pending read index.
    pub fn cancel_read_index(&mut self, read_index: ReadIndexId) {
        self.replica.read_indexes.cancel(read_index);
    }

    /// Forces a view of this replica and the voters that it receives heartbeats from. The operator guarantees that
    /// the disks at `lost` (addresses as in the view) are lost for good. Changes are accepted again once a view of
    /// more than `fault_tolerance` members is active, which may need new members to join first. Returns the number of
    /// the forced view.
    ///
    /// # Errors
    ///
    /// If a regular view change is possible, `lost` doesn't fit the replicas that are reachable, another replica has a
    /// newer view or state, or this replica can't begin a view; see [`ForceViewError`].
    pub fn force_view(&mut self, now: Nanos, lost: &[SocketAddrV4]) -> Result<ViewNumber, ForceViewError> {
        self.replica.clock.advance(now);
        let number = self.replica.force_view(lost)?;
        self.finish_step();
        Ok(number)
    }

    /// Returns the next action, or `None` if there is none until the next input or the time of the last
    /// [`Action::Wake`].
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.replica.outbox.is_empty() {
            self.replica.clock.advance(now);
            self.tick();
            self.finish_step();
        }
        if let Some(action) = self.replica.outbox.next_action() {
            return Some(action);
        }
        let deadline = self.replica.next_deadline();
        self.replica.outbox.wake_at(deadline, now)
    }

    // Queries.

    /// Returns the last active view that this replica knows and is a member of.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.replica.activation.entered_view.as_ref()
    }

    /// Whether this replica leads the active view and accepts changes.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.replica.is_leader()
    }

    /// Returns the leader of the view that [`Consensus::view`] returns, its first member; `None` if there is no such
    /// view.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        self.view().and_then(|view| view.members.first())
    }

    /// Whether this replica holds a lease: a majority of the voters has confirmed the view within `lease_duration`,
    /// and no change that this replica stored longer ago than that is uncommitted. The delivered state is then at
    /// most `lease_duration` old.
    #[must_use]
    pub fn has_lease(&self, now: Nanos) -> bool {
        self.replica.has_lease(now)
    }

    /// Whether this replica reaches no majority of the voters, and has run for longer than `suspicion_timeout`, so
    /// that it can tell. A read index can't be confirmed here then.
    #[must_use]
    pub fn is_partitioned(&self, now: Nanos) -> bool {
        self.replica.is_partitioned(now)
    }

    /// Returns the newest delivered state and its revision.
    #[must_use]
    pub fn delivered(&self) -> Option<(Revision, &[u8])> {
        let delivered = self.replica.replication.delivered.as_ref();
        delivered.map(|delivered| (delivered.revision, &delivered.state[..]))
    }

    /// Returns the status of the view, as known to this replica. A replica that fails is shown as unreachable at most
    /// `suspicion_timeout` later.
    #[must_use]
    pub fn status(&self) -> ViewStatus {
        self.replica.status()
    }

    // Routing.

    /// Performs the work that is due at the current time.
    fn tick(&mut self) {
        if self.replica.heartbeat_timer.is_due(self.replica.clock.now) {
            self.replica.send_heartbeats();
        }
        self.replica.retransmit_change();
        self.replica.tick_attempt();
        self.replica.start_attempt_when_due();
    }

    /// Performs the work that any input may have made possible.
    fn finish_step(&mut self) {
        for ReceivedMessage { from, message } in self.replica.complete_recovery() {
            self.dispatch(from, message);
        }
        while let Some(message) = self.replica.outbox.next_local_message() {
            self.dispatch(self.replica.settings.me.addr, message);
        }
        if self.replica.heartbeat_timer.is_requested(self.replica.clock.now) {
            self.replica.send_heartbeats();
        }
        self.replica.complete_read_indexes();
        self.replica.write_if_needed();
    }

    /// Passes a message to its handler, unless it has to wait until the disk is verified or is dropped until then.
    fn dispatch(&mut self, from: SocketAddrV4, message: Message) {
        let replica = &mut self.replica;
        let Some(message) = replica.defer_until_recovered(from, message) else { return };
        match message {
            Message::Heartbeat(heartbeat) => replica.handle_heartbeat(from, heartbeat),
            Message::RecoveryResponse { sender, member_id, incarnation, progress } => {
                replica.handle_recovery_response(sender, member_id, incarnation, progress);
            }
            Message::NewerView { chosen } => replica.handle_newer_view(chosen),
            Message::StateTransfer { chosen, revision, state } => {
                replica.handle_state_transfer(chosen, revision, state);
            }
            Message::Replicate { view, revision, state } => {
                replica.handle_replicate(from, view, revision, state);
            }
            Message::ReplicateAck { sender, view, revision } => {
                replica.handle_replicate_ack(sender, view, revision);
            }
            Message::Commit { view, revision } => replica.handle_commit(view, revision),
            Message::Prepare { proposal, current, revision } => {
                replica.handle_prepare(from, proposal, current, revision);
            }
            Message::Prepared { sender, proposal, view, revision, state, accepted } => {
                replica.handle_prepared(PreparedReply { sender, proposal, view, revision, state, accepted });
            }
            Message::Rejected { view, prepared } => replica.handle_rejected(view, prepared),
            Message::Accept { proposal, current, next, revision, state } => {
                replica.handle_accept(from, AcceptRequest { proposal, current, next, revision, state });
            }
            Message::Accepted { sender, proposal, view } => replica.handle_accepted(sender, proposal, view),
            Message::Chosen { proposal, view, view_active } => {
                replica.handle_chosen(proposal, view, view_active);
            }
            Message::ReadIndexRequest { view, incarnation, sequence } => {
                replica.handle_read_index_request(from, view, incarnation, sequence);
            }
            Message::ReadIndexResponse { sender, view, incarnation, sequence } => {
                replica.handle_read_index_response(sender, view, incarnation, sequence);
            }
        }
    }
}
