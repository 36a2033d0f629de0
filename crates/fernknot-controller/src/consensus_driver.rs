//! Drives the consensus member: hands inputs to it and knows when it has to be polled again.

use fernknot::interface::Nanos;
use fernknot_consensus::{
    Action, Consensus, ForceViewError, Member, Message, ReadIndexId, Revision, View, ViewNumber, ViewStatus,
    WriteId,
};
use std::net::SocketAddrV4;

/// The consensus member of this controller, absent until the disk has been read.
pub struct ConsensusDriver {
    member: Option<Consensus>,
    /// When it has to be polled next.
    next_poll: Nanos,
    /// When it last asked to be polled if no input comes.
    wake_at: Nanos,
    /// Whether it held the lease when it was last polled.
    had_lease: bool,
}

impl ConsensusDriver {
    /// Drives no member yet.
    pub fn new(now: Nanos) -> ConsensusDriver {
        ConsensusDriver { member: None, next_poll: now, wake_at: now, had_lease: false }
    }

    /// Begins to drive a member, once its state has been read from disk.
    pub fn start(&mut self, now: Nanos, member: Consensus) {
        self.member = Some(member);
        self.next_poll = now;
    }

    /// Hands an input to the member, if there is one, and has it polled at once.
    fn input(&mut self, now: Nanos, input: impl FnOnce(&mut Consensus)) {
        if let Some(member) = &mut self.member {
            input(member);
            self.next_poll = now;
        }
    }

    /// A message of the member at `from` came.
    pub fn handle_message(&mut self, now: Nanos, from: SocketAddrV4, message: Message) {
        self.input(now, |member| member.handle_message(now, from, message));
    }

    /// A connection to another member is up: what was sent to it before is lost.
    pub fn handle_connected(&mut self, now: Nanos) {
        self.input(now, |member| member.handle_connected(now));
    }

    /// A write of the member's state has ended; `ok` where it is on disk.
    pub fn handle_write_result(&mut self, now: Nanos, write_id: WriteId, ok: bool) {
        self.input(now, |member| member.handle_write_result(now, write_id, ok));
    }

    /// Whether the member may go on to store what it is sent.
    pub fn set_disk_healthy(&mut self, now: Nanos, healthy: bool) {
        self.input(now, |member| member.set_disk_healthy(now, healthy));
    }

    /// Another controller may be reached at this address.
    pub fn add_address(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.input(now, |member| member.add_address(now, addr));
    }

    /// Proposes a state that follows `base`, under the caller's number for the change.
    pub fn propose(&mut self, now: Nanos, change_id: u64, base: Revision, state: Vec<u8>) {
        if let Some(member) = &mut self.member {
            member.propose(now, change_id, base, state);
        }
    }

    /// Asks a majority of the voters to confirm the view. False where that is of no use: no majority is reachable, or
    /// too many requests are pending.
    pub fn read_index(&mut self, now: Nanos, id: ReadIndexId) -> bool {
        self.next_poll = now;
        self.member.as_mut().is_some_and(|member| !member.is_partitioned(now) && member.read_index(now, id))
    }

    /// Nobody waits for the confirmation any more.
    pub fn cancel_read_index(&mut self, id: ReadIndexId) {
        if let Some(member) = &mut self.member {
            member.cancel_read_index(id);
        }
    }

    /// Forces a view without the members at `lost`. None before the disk has been read.
    pub fn force_view(
        &mut self,
        now: Nanos,
        lost: &[SocketAddrV4],
    ) -> Option<Result<ViewNumber, ForceViewError>> {
        let result = self.member.as_mut()?.force_view(now, lost);
        self.next_poll = now;
        Some(result)
    }

    /// The next thing that the member wants done, other than to be polled later.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        loop {
            match self.member.as_mut()?.poll_action(now)? {
                Action::Wake { after } => self.wake_at = now + after,
                action => return Some(action),
            }
        }
    }

    /// All actions have been taken. The member names a time only if it differs from the one that it named before:
    /// without this, the loop would never be idle after the first input.
    pub fn finish_poll(&mut self) {
        self.next_poll = self.wake_at;
    }

    /// The new state of the lease, if it has changed since this was last asked.
    pub fn take_lease_change(&mut self, now: Nanos) -> Option<bool> {
        let has_lease = self.has_lease(now);
        (std::mem::replace(&mut self.had_lease, has_lease) != has_lease).then_some(has_lease)
    }

    /// When to poll again though no input comes. None before the disk has been read.
    pub fn next_timeout(&self) -> Option<Nanos> {
        self.member.as_ref().map(|_| self.next_poll)
    }

    /// Whether there is a member to drive.
    pub fn is_started(&self) -> bool {
        self.member.is_some()
    }

    /// Whether a majority was heard lately: what is known here is no older than that.
    pub fn has_lease(&self, now: Nanos) -> bool {
        self.member.as_ref().is_some_and(|member| member.has_lease(now))
    }

    /// Whether it has listened for long enough, and no majority of the voters is reachable.
    pub fn is_partitioned(&self, now: Nanos) -> bool {
        self.member.as_ref().is_some_and(|member| member.is_partitioned(now))
    }

    /// Whether this member leads the view.
    pub fn is_leader(&self) -> bool {
        self.member.as_ref().is_some_and(Consensus::is_leader)
    }

    /// The member that leads the view, as far as is known.
    pub fn leader(&self) -> Option<&Member> {
        self.member.as_ref().and_then(Consensus::leader)
    }

    /// The view in force, if this member is in one.
    pub fn view(&self) -> Option<&View> {
        self.member.as_ref().and_then(Consensus::view)
    }

    /// How the view stands. None before the disk has been read.
    pub fn status(&self) -> Option<ViewStatus> {
        self.member.as_ref().map(Consensus::status)
    }
}
