//! The state machine as its host sees it: each input updates the replica's state, and actions are polled until there
//! are none. Only routing stands here; each concern has a module of its own.

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

/// One replica of the control state, as a state machine without I/O.
///
/// `now` in all calls is the host's monotonic clock. After each input the host calls [`Consensus::poll_action`] until
/// there is no action left.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    replica: Replica,
}

impl Consensus {
    /// A replica at its start. `seed` must differ from start to start. `saved` is what the host wrote last, or `None`
    /// where the disk is empty; what another incarnation of the disk wrote is not trusted.
    #[must_use]
    pub fn new(
        seed: u64,
        settings: ConsensusSettings,
        saved: Option<PersistentState>,
        now: Nanos,
    ) -> Consensus {
        Consensus::with_seeded_bug(seed, settings, saved, now, None)
    }

    /// As [`Consensus::new`], with a bug that a checker must find.
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

    /// A message came from the replica that listens at `from`.
    pub fn handle_message(&mut self, now: Nanos, from: SocketAddrV4, message: Message) {
        self.replica.clock.advance(now);
        if is_valid_message(&message) {
            self.dispatch(from, message);
        }
        self.finish_step();
    }

    /// The write with this id has ended. Not `ok`: it is not known what is on disk.
    pub fn handle_write_result(&mut self, now: Nanos, write_id: WriteId, ok: bool) {
        self.replica.clock.advance(now);
        self.replica.handle_write_result(write_id, ok);
        self.finish_step();
    }

    /// The host reports that its disk hangs or is full, or is healthy again.
    pub fn set_disk_healthy(&mut self, now: Nanos, healthy: bool) {
        self.replica.clock.advance(now);
        let changed = self.replica.disk.set_healthy(healthy);
        self.replica.heartbeat_timer.request_if(changed);
        self.finish_step();
    }

    /// Another replica may be at this address, as the host has learnt from elsewhere.
    pub fn add_address(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.replica.clock.advance(now);
        let is_new = self.replica.peers.learn_address(addr);
        self.replica.heartbeat_timer.request_if(is_new);
        self.finish_step();
    }

    /// The host has a connection to a replica that it had not before: what was sent until now is lost, so the next
    /// heartbeat leaves soon. Guards the return of all at once, when the heartbeat interval is most of the wait.
    pub fn handle_connected(&mut self, now: Nanos) {
        self.replica.clock.advance(now);
        self.replica.heartbeat_timer.request();
        self.finish_step();
    }

    /// Proposes the next state after `base`. Only the leader accepts it, and only if `base` is the last revision given
    /// out, queued changes counted. The answer is [`Action::Committed`], [`Action::Rejected`] or, where the view
    /// changes meanwhile, perhaps none.
    pub fn propose(&mut self, now: Nanos, change_id: u64, base: Revision, state: Vec<u8>) {
        self.replica.clock.advance(now);
        self.replica.accept_change(change_id, base, state);
        self.finish_step();
    }

    /// Asks whether the view still stands: [`Action::ReadIndexConfirmed`] comes once a majority of its voters has
    /// confirmed so after this call, and all that was committed before it has been delivered here. It may never come.
    /// False where too many are pending.
    #[must_use = "where it is false, the read index is never confirmed"]
    pub fn read_index(&mut self, now: Nanos, read_index: ReadIndexId) -> bool {
        self.replica.clock.advance(now);
        if !self.replica.request_read_index(read_index) {
            return false;
        }
        self.finish_step();
        true
    }

    /// Nobody waits for this read index any more.
    pub fn cancel_read_index(&mut self, read_index: ReadIndexId) {
        self.replica.read_indexes.cancel(read_index);
    }

    /// Makes a view of this replica and of those whom it hears, by an operator's word that the disks at `lost` (as the
    /// view names them) are gone for good. It becomes active once enough disks are in it, new ones counted.
    ///
    /// # Errors
    ///
    /// Where the view could change by itself, or something is stored elsewhere that would be lost.
    pub fn force_view(&mut self, now: Nanos, lost: &[SocketAddrV4]) -> Result<ViewNumber, ForceViewError> {
        self.replica.clock.advance(now);
        let number = self.replica.force_view(lost)?;
        self.finish_step();
        Ok(number)
    }

    /// The next thing to do; `None`: nothing more until an input, or until the time of the last [`Action::Wake`].
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

    // Questions.

    /// The active view, as far as this replica knows, if it is in one.
    #[must_use]
    pub fn view(&self) -> Option<&View> {
        self.replica.activation.entered_view.as_ref()
    }

    /// Whether changes are accepted here.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        self.replica.is_leader()
    }

    /// The leader of the active view, as far as this replica knows.
    #[must_use]
    pub fn leader(&self) -> Option<&Member> {
        self.view().and_then(|view| view.members.first())
    }

    /// Whether a majority has confirmed within `lease_duration` that the view stands, and no change older than that is
    /// uncommitted: what is delivered here is no older than `lease_duration`.
    #[must_use]
    pub fn has_lease(&self, now: Nanos) -> bool {
        self.replica.has_lease(now)
    }

    /// True where this replica has listened for long enough and no majority of the voters is reachable: a read index
    /// can't be confirmed here.
    #[must_use]
    pub fn is_partitioned(&self, now: Nanos) -> bool {
        self.replica.is_partitioned(now)
    }

    /// The newest state that was delivered, and its revision.
    #[must_use]
    pub fn delivered(&self) -> Option<(Revision, &[u8])> {
        let delivered = self.replica.replication.delivered.as_ref();
        delivered.map(|delivered| (delivered.revision, &delivered.state[..]))
    }

    /// The status of the view, as this replica sees it; a loss is seen within `suspicion_timeout`.
    #[must_use]
    pub fn status(&self) -> ViewStatus {
        self.replica.status()
    }

    // Routing.

    /// What time alone makes due.
    fn tick(&mut self) {
        if self.replica.heartbeat_timer.is_due(self.replica.clock.now) {
            self.replica.send_heartbeats();
        }
        self.replica.retransmit_change();
        self.replica.tick_attempt();
        self.replica.start_attempt_when_due();
    }

    /// What any input may have made possible.
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

    /// Gives a message to the concern that it belongs to.
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
