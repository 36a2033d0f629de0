//! Driver of the consensus member, this controller's [`Consensus`] state machine: passes inputs to it and tracks when
//! to poll it again.

use fernknot::interface::Nanos;
use fernknot_consensus::{
    Action, Consensus, ForceViewError, Member, Message, ReadIndexId, Revision, View, ViewNumber, ViewStatus,
    WriteId,
};
use std::net::SocketAddrV4;

/// Consensus member of this controller, absent until the disk has been read.
pub struct ConsensusDriver {
    member: Option<Consensus>,
    /// Time of the next poll: at once after an input, otherwise `wake_at`.
    next_poll: Nanos,
    /// Time at which the member last asked to be polled if no input arrives.
    wake_at: Nanos,
    /// Whether the member held the lease at the last call of [`take_lease_change`](Self::take_lease_change).
    had_lease: bool,
}

impl ConsensusDriver {
    /// Creates a driver without a member.
    pub fn new(now: Nanos) -> ConsensusDriver {
        ConsensusDriver { member: None, next_poll: now, wake_at: now, had_lease: false }
    }

    /// Starts to drive a member, whose state has been read from disk.
    pub fn start(&mut self, now: Nanos, member: Consensus) {
        self.member = Some(member);
        self.next_poll = now;
    }

    /// Passes an input to the member, if there is one, and schedules a poll at once.
    fn input(&mut self, now: Nanos, input: impl FnOnce(&mut Consensus)) {
        if let Some(member) = &mut self.member {
            input(member);
            self.next_poll = now;
        }
    }

    /// Handles a message of the member at `from`.
    pub fn handle_message(&mut self, now: Nanos, from: SocketAddrV4, message: Message) {
        self.input(now, |member| member.handle_message(now, from, message));
    }

    /// Handles a new connection to another member; messages sent to it before may be lost.
    pub fn handle_connected(&mut self, now: Nanos) {
        self.input(now, |member| member.handle_connected(now));
    }

    /// Handles the end of a write of the member's state; `ok` if the state is on disk.
    pub fn handle_write_result(&mut self, now: Nanos, write_id: WriteId, ok: bool) {
        self.input(now, |member| member.handle_write_result(now, write_id, ok));
    }

    /// Sets whether the member may store further states: the disk is healthy, and no shutdown is in progress.
    pub fn set_disk_healthy(&mut self, now: Nanos, healthy: bool) {
        self.input(now, |member| member.set_disk_healthy(now, healthy));
    }

    /// Adds an address at which another controller may be reachable.
    pub fn add_address(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.input(now, |member| member.add_address(now, addr));
    }

    /// Proposes a state that builds on `base`, for the change with this number.
    pub fn propose(&mut self, now: Nanos, change_id: u64, base: Revision, state: Vec<u8>) {
        if let Some(member) = &mut self.member {
            member.propose(now, change_id, base, state);
        }
    }

    /// Asks a majority of the voters to confirm the view. Returns false if the disk has not been read yet, no
    /// majority is reachable or too many requests are pending.
    pub fn read_index(&mut self, now: Nanos, id: ReadIndexId) -> bool {
        self.next_poll = now;
        self.member.as_mut().is_some_and(|member| !member.is_partitioned(now) && member.read_index(now, id))
    }

    /// Cancels a request that [`read_index`](Self::read_index) began; nothing is reported for it.
    pub fn cancel_read_index(&mut self, id: ReadIndexId) {
        if let Some(member) = &mut self.member {
            member.cancel_read_index(id);
        }
    }

    /// Forces a view without the members at `lost`. Returns None before the disk has been read.
    pub fn force_view(
        &mut self,
        now: Nanos,
        lost: &[SocketAddrV4],
    ) -> Option<Result<ViewNumber, ForceViewError>> {
        let result = self.member.as_mut()?.force_view(now, lost);
        self.next_poll = now;
        Some(result)
    }

    /// Returns the member's next action, other than a request to be polled later.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        loop {
            match self.member.as_mut()?.poll_action(now)? {
                Action::Wake { after } => self.wake_at = now + after,
                action => return Some(action),
            }
        }
    }

    /// Schedules the next poll after all actions have been taken. The member repeats the requested time only if it
    /// changes, so the last one is kept; without it, the loop would never be idle after the first input.
    pub fn finish_poll(&mut self) {
        self.next_poll = self.wake_at;
    }

    /// Returns the state of the lease if it has changed since the last call.
    pub fn take_lease_change(&mut self, now: Nanos) -> Option<bool> {
        let has_lease = self.has_lease(now);
        (std::mem::replace(&mut self.had_lease, has_lease) != has_lease).then_some(has_lease)
    }

    /// Returns the time of the next poll if no input arrives. None before the disk has been read.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.member.as_ref().map(|_| self.next_poll)
    }

    /// Whether there is a member to drive: the disk has been read.
    pub fn is_started(&self) -> bool {
        self.member.is_some()
    }

    /// Whether a majority was reachable within the lease duration, so that the local state is no older than that;
    /// false before the disk has been read.
    pub fn has_lease(&self, now: Nanos) -> bool {
        self.member.as_ref().is_some_and(|member| member.has_lease(now))
    }

    /// Whether no majority of the voters is reachable. False in the first suspicion timeout after a start or a stall,
    /// and before the disk has been read.
    pub fn is_partitioned(&self, now: Nanos) -> bool {
        self.member.as_ref().is_some_and(|member| member.is_partitioned(now))
    }

    /// Whether this member leads the view.
    pub fn is_leader(&self) -> bool {
        self.member.as_ref().is_some_and(Consensus::is_leader)
    }

    /// Leader of the view, if known.
    pub fn leader(&self) -> Option<&Member> {
        self.member.as_ref().and_then(Consensus::leader)
    }

    /// Active view, if this member is in one.
    pub fn view(&self) -> Option<&View> {
        self.member.as_ref().and_then(Consensus::view)
    }

    /// Status of the view and its members. None before the disk has been read.
    pub fn status(&self) -> Option<ViewStatus> {
        self.member.as_ref().map(Consensus::status)
    }
}
