//! The register itself: what is heard and stored, what lies on disk, pulses, changes and commits.
//! How a view is changed: `ballots`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddrV4;
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::ballots::ViewChangeAttempt;
use crate::confirm::ReadIndexState;
use crate::forced::era;
use crate::past::DiskRecovery;
use crate::types::*;

/// Members of a view, at most.
pub(crate) const MAX_MEMBERS: usize = 9;
/// Peers and addresses that are remembered, at most.
pub(crate) const MAX_PEERS: usize = 32;
/// Proposals in hand at the sequencer, at most.
const MAX_PENDING_CHANGES: usize = 8;
/// Words that wait for the disk, at most; the oldest are dropped, their askers ask again.
const MAX_DEFERRED_SENDS: usize = 64;
/// Floors of earlier views that are remembered.
pub(crate) const MAX_VIEW_STARTS: usize = 32;
/// Letters in the name of a zone, at most.
const MAX_ZONE_BYTES: usize = 256;

/// What is known of another controller.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Peer {
    pub heartbeat: PeerHeartbeat,
    pub last_heard: Nanos,
    /// When the newest of my pulses left that it has answered to.
    pub last_echoed: Option<Nanos>,
    /// What it has on disk, in `told.held`; `Have` may be ahead of pulses.
    pub state_view: ViewNumber,
    pub revision: Revision,
    /// Until then it is left out of the next view: it did not store in time.
    pub excluded_until: Nanos,
    state_sent_at: Option<Nanos>,
    /// Since when it asks what its disk had vouched for.
    recovering_since: Option<Nanos>,
}

/// One controller's part in the register.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Consensus {
    pub(crate) settings: ConsensusSettings,
    pub(crate) seeded_bug: Option<SeededBug>,
    random_state: u64,
    pub(crate) incarnation: u64,
    pub(crate) now: Nanos,
    pub(crate) started_at: Nanos,
    /// Nobody is suspected before this and `suspect_after` are over: the start, or a sleep.
    listening_since: Nanos,
    pub(crate) recovery: DiskRecovery,
    /// What is to be on disk, and what of it is.
    pub(crate) persistent: PersistentState,
    pub(crate) durable_position: (ViewNumber, ViewNumber, Revision),
    pub(crate) dirty: bool,
    pub(crate) pending_write: Option<PendingWrite>,
    deferred_sends: VecDeque<(SocketAddrV4, Message)>,
    pub(crate) last_write_id: u64,
    pub(crate) host_disk_healthy: bool,
    pub(crate) write_failed_at: Option<Nanos>,
    pub(crate) peers: BTreeMap<MemberId, Peer>,
    pub(crate) addresses: BTreeSet<SocketAddrV4>,
    /// The view of `cur.base` is in force, as far as this member knows.
    pub(crate) view_active: bool,
    pub(crate) entered_view: Option<View>,
    /// In views up to this one, this life must not sequence: an earlier one may have.
    must_not_lead_through: ViewNumber,
    pub(crate) commit_revision: Revision,
    delivered: Option<(Revision, Arc<[u8]>)>,
    pending_change: Option<PendingChange>,
    pub(crate) queued_changes: VecDeque<(u64, Arc<[u8]>)>,
    unresolved_changes: Vec<(u64, ViewNumber, Revision)>,
    pub(crate) attempt: Option<ViewChangeAttempt>,
    pub(crate) highest_term: u64,
    pub(crate) backoff_until: Nanos,
    /// Since when the view is not in force, or is stopped.
    pub(crate) unstable_since: Nanos,
    pub(crate) competing_proposal_at: Option<Nanos>,
    pub(crate) scheduled_attempt: Option<(Nanos, Nanos)>,
    heartbeat_due: Nanos,
    last_heartbeat: Nanos,
    pub(crate) heartbeat_requested: bool,
    pub(crate) read_indexes: ReadIndexState,
    local_messages: VecDeque<Message>,
    pub(crate) actions: VecDeque<Action>,
    last_wake: Option<Nanos>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingWrite {
    write_id: WriteId,
    started_at: Nanos,
    pub(crate) position: (ViewNumber, ViewNumber, Revision),
    pub(crate) progress: DurableProgress,
    pub(crate) sends: VecDeque<(SocketAddrV4, Message)>,
}

/// The sequencer's change that is not yet on all disks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingChange {
    change_id: u64,
    revision: Revision,
    started_at: Nanos,
    retry_at: Nanos,
    backoff: Nanos,
}

impl Consensus {
    /// `seed` must differ from start to start. `saved` is what the host last wrote, or none where
    /// the disk is empty; what another life of the disk wrote is not trusted.
    pub fn new(seed: u64, facts: ConsensusSettings, saved: Option<PersistentState>, now: Nanos) -> Consensus {
        Consensus::with_seeded_bug(seed, facts, saved, now, None)
    }

    #[doc(hidden)]
    pub fn with_seeded_bug(
        seed: u64,
        facts: ConsensusSettings,
        saved: Option<PersistentState>,
        now: Nanos,
        plant: Option<SeededBug>,
    ) -> Consensus {
        let mut facts = facts;
        facts.heartbeat_interval = facts.heartbeat_interval.max(Nanos(1));
        facts.suspicion_timeout = facts.suspicion_timeout.max(Nanos(2));
        let me = facts.me.clone();
        let saved = saved.filter(|saved| saved.member_id == me.id);
        let fresh = saved.is_none();
        let mut cur = saved.unwrap_or_else(|| PersistentState {
            member_id: me.id,
            chosen: ChosenView::default(),
            prepared: ProposalNumber::default(),
            accepted: None,
            state_view: ViewNumber(0),
            revision: Revision(0),
            state: Arc::from([]),
            known_progress: Vec::new(),
        });
        if fresh && facts.bootstrap && facts.founders.contains(&me.addr) {
            // Ballots before view 1 are among addresses: ids of empty disks are not known yet.
            let founders: BTreeSet<SocketAddrV4> = facts.founders.iter().copied().collect();
            cur.chosen.view.members = founders
                .into_iter()
                .take(MAX_MEMBERS)
                .map(|addr| Member { id: MemberId(0), addr, zone: String::new() })
                .collect();
        }
        let mut addrs: BTreeSet<SocketAddrV4> = facts.founders.iter().copied().collect();
        addrs.extend(voters(&cur.chosen.view).map(|member| member.addr));
        if let Some(vouched) = &cur.accepted {
            addrs.extend(voters(&vouched.next.view).map(|member| member.addr));
        }
        addrs.remove(&me.addr);
        let vouched_no = cur.accepted.as_ref().map_or(ViewNumber(0), |vouched| vouched.next.view.number);
        let barred = match plant {
            Some(SeededBug::LeadAgainAfterRestart) => ViewNumber(0),
            _ => cur.chosen.view.number.max(vouched_no),
        };
        let safe = (cur.chosen.view.number, cur.state_view, cur.revision);
        let seen_round = cur.prepared.term;
        let commit = view_start(&cur.chosen);
        let past = DiskRecovery::new(&cur, fresh || plant == Some(SeededBug::OutdatedDiskVotes));
        let mut views = Consensus {
            settings: facts,
            seeded_bug: plant,
            random_state: seed,
            incarnation: 0,
            now,
            started_at: now,
            listening_since: now,
            recovery: past,
            persistent: cur,
            durable_position: safe,
            dirty: false,
            pending_write: None,
            deferred_sends: VecDeque::new(),
            last_write_id: 0,
            host_disk_healthy: true,
            write_failed_at: None,
            peers: BTreeMap::new(),
            addresses: addrs,
            view_active: false,
            entered_view: None,
            must_not_lead_through: barred,
            commit_revision: commit,
            delivered: None,
            pending_change: None,
            queued_changes: VecDeque::new(),
            unresolved_changes: Vec::new(),
            attempt: None,
            highest_term: seen_round,
            backoff_until: now,
            unstable_since: now,
            competing_proposal_at: None,
            scheduled_attempt: None,
            heartbeat_due: now,
            last_heartbeat: now,
            heartbeat_requested: false,
            read_indexes: ReadIndexState::default(),
            local_messages: VecDeque::new(),
            actions: VecDeque::new(),
            last_wake: None,
        };
        views.incarnation = views.next_random();
        views
    }

    /// A word from the controller that listens at `from`.
    pub fn handle_message(&mut self, now: Nanos, from: SocketAddrV4, word: Message) {
        self.advance_clock(now);
        if is_valid_message(&word) {
            self.dispatch(from, word);
        }
        self.finish_step();
    }

    /// The end of the write with this ticket; not `ok`: what is on disk is not known.
    pub fn handle_write_result(&mut self, now: Nanos, ticket: WriteId, ok: bool) {
        self.advance_clock(now);
        if self.pending_write.as_ref().is_some_and(|writing| writing.write_id == ticket)
            && let Some(mut writing) = self.pending_write.take()
        {
            if ok {
                self.write_failed_at = None;
                self.heartbeat_requested |= (self.durable_position.0, self.durable_position.1)
                    != (writing.position.0, writing.position.1);
                self.durable_position = writing.position;
                self.recovery.durable_progress = writing.progress;
                for (to, word) in writing.sends {
                    self.send(to, word);
                }
                self.commit_when_replicated();
            } else {
                self.write_failed_at = Some(now);
                self.dirty = true;
                self.heartbeat_requested = true;
                writing.sends.append(&mut self.deferred_sends);
                self.deferred_sends = writing.sends;
            }
        }
        self.finish_step();
    }

    /// The host's word on the disk: hanging or full, or well again.
    pub fn set_disk_healthy(&mut self, now: Nanos, ok: bool) {
        self.advance_clock(now);
        self.heartbeat_requested |= self.host_disk_healthy != ok;
        self.host_disk_healthy = ok;
        if ok {
            self.write_failed_at = None;
        }
        self.finish_step();
    }

    /// Another controller's address for words like these, learnt from outside.
    pub fn add_address(&mut self, now: Nanos, addr: SocketAddrV4) {
        self.advance_clock(now);
        if self.learn_address(addr) {
            self.heartbeat_requested = true;
        }
        self.finish_step();
    }

    /// There is a way to a controller that there was not before: what was said to it until now is lost, so the next
    /// pulse goes out soon. Guards the return of all at once, when a pulse's time is most of the wait.
    pub fn handle_connected(&mut self, now: Nanos) {
        self.advance_clock(now);
        self.heartbeat_requested = true;
        self.finish_step();
    }

    /// The next state after `base`. Only the sequencer takes it; `base` must be the last number
    /// given out, proposals in hand counted.
    pub fn propose(&mut self, now: Nanos, proposal: u64, base: Revision, state: Vec<u8>) {
        self.advance_clock(now);
        let last = Revision(self.persistent.revision.0.saturating_add(self.queued_changes.len() as u64));
        if self.is_leader()
            && self.disk_healthy()
            && base == last
            && self.queued_changes.len() < MAX_PENDING_CHANGES
        {
            self.queued_changes.push_back((proposal, Arc::from(state)));
            self.replicate_next();
        } else {
            self.actions.push_back(Action::Rejected { change_id: proposal });
        }
        self.finish_step();
    }

    /// What is to be done; none: nothing more until an input or the last `Wake`.
    pub fn poll_action(&mut self, now: Nanos) -> Option<Action> {
        if self.actions.is_empty() {
            self.advance_clock(now);
            self.tick();
            self.finish_step();
        }
        if let Some(order) = self.actions.pop_front() {
            return Some(order);
        }
        let due = self.next_deadline();
        if self.last_wake == Some(due) {
            return None;
        }
        self.last_wake = Some(due);
        Some(Action::Wake { after: due - now })
    }

    /// The view that is in force, as far as this member knows, if it is in one.
    pub fn view(&self) -> Option<&View> {
        self.entered_view.as_ref()
    }

    /// Whether proposals are taken here.
    pub fn is_leader(&self) -> bool {
        self.view_active && !self.is_changing_view() && self.may_lead()
    }

    pub fn leader(&self) -> Option<&Member> {
        self.entered_view.as_ref().and_then(|view| view.members.first())
    }

    /// Whether a majority has vouched within `lease` that the view stands, and no change older than
    /// that is in doubt: what is delivered here is no older than `lease`.
    pub fn has_lease(&self, now: Nanos) -> bool {
        if !self.view_active || self.is_changing_view() || self.entered_view.is_none() {
            return false;
        }
        let view = &self.persistent.chosen.view;
        let recent = |at: Nanos| now - at <= self.settings.lease_duration;
        let vouching = voters(view).filter(|member| {
            member.id == self.settings.me.id
                || self.peers.get(&member.id).is_some_and(|peer| {
                    peer.heartbeat.view == view.number
                        && !peer.heartbeat.stopped
                        && !peer.heartbeat.recovering
                        && peer.last_echoed.is_some_and(recent)
                })
        });
        let Some((delivered, _)) = &self.delivered else { return false };
        // What is delivered may be from before this member was left out, while it holds a change under way.
        if *delivered < view_start(&self.persistent.chosen) {
            return false;
        }
        let in_doubt = *delivered < self.persistent.revision;
        vouching.count() > voters(view).count() / 2 && (!in_doubt || recent(self.unstable_since))
    }

    /// The newest state that was delivered, and its place in the order.
    pub fn delivered(&self) -> Option<(Revision, &[u8])> {
        self.delivered.as_ref().map(|(no, state)| (*no, &state[..]))
    }

    // What others ask of: small questions.

    pub(crate) fn member_id(&self) -> MemberId {
        self.settings.me.id
    }

    pub(crate) fn is_changing_view(&self) -> bool {
        self.persistent.prepared != ProposalNumber::default()
    }

    /// First of the view, and nothing of an earlier life can be on its way.
    pub(crate) fn may_lead(&self) -> bool {
        let view = &self.persistent.chosen.view;
        view.number > self.must_not_lead_through
            && view.members.first().is_some_and(|member| member.id == self.member_id())
    }

    /// Has the whole of what the view began with, and is to store what follows.
    pub(crate) fn has_view_state(&self) -> bool {
        self.persistent.state_view == self.persistent.chosen.view.number
            && is_member(&self.persistent.chosen.view, &self.settings.me)
    }

    pub(crate) fn disk_healthy(&self) -> bool {
        let slow = |writing: &PendingWrite| {
            self.now - writing.started_at > self.settings.suspicion_timeout.times(0.5)
        };
        self.host_disk_healthy
            && self.write_failed_at.is_none()
            && !self.pending_write.as_ref().is_some_and(slow)
    }

    /// In touch both ways.
    pub(crate) fn is_reachable(&self, peer: &Peer) -> bool {
        let limit = self.settings.suspicion_timeout;
        self.now - peer.last_heard <= limit && peer.last_echoed.is_some_and(|at| self.now - at <= limit)
    }

    /// Another life of a disk has been heard from the member's address since.
    pub(crate) fn is_replaced(&self, member: &Member) -> bool {
        if member.id == MemberId(0) || member.id == self.member_id() {
            return false;
        }
        let known = self.peers.get(&member.id);
        let addr = known.map_or(member.addr, |peer| peer.heartbeat.sender.addr);
        let heard = known.map(|peer| peer.last_heard);
        addr == self.settings.me.addr
            || self.peers.values().any(|other| {
                other.heartbeat.sender.id != member.id
                    && other.heartbeat.sender.addr == addr
                    && Some(other.last_heard) > heard
            })
    }

    pub(crate) fn is_me(&self, member: &Member) -> bool {
        member.id == self.member_id()
    }

    /// Whether silence means something by now: neither a start nor a sleep was just before.
    pub(crate) fn has_listened(&self, now: Nanos) -> bool {
        now - self.listening_since > self.settings.suspicion_timeout
    }

    pub(crate) fn push_action(&mut self, order: Action) {
        self.actions.push_back(order);
    }

    /// Listened for long enough, and not in touch.
    pub(crate) fn is_suspected(&self, member: &Member) -> bool {
        if member.id == self.member_id() {
            return false;
        }
        let fresh = self.peers.get(&member.id).is_some_and(|peer| self.is_reachable(peer));
        self.is_replaced(member) || (!fresh && self.has_listened(self.now))
    }

    /// Where a member listens now.
    pub(crate) fn address_of(&self, member: &Member) -> SocketAddrV4 {
        self.peers.get(&member.id).map_or(member.addr, |peer| peer.heartbeat.sender.addr)
    }

    /// The next of the seeded chance (splitmix64).
    pub(crate) fn next_random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut z = self.random_state;
        z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        z ^ (z >> 31)
    }

    /// A random part of a span.
    pub(crate) fn random_part_of(&mut self, span: Nanos) -> Nanos {
        span.times((self.next_random() >> 11) as f64 / (1u64 << 53) as f64)
    }

    /// Asks what its disk had vouched for, and for so long that nobody waits for it.
    pub(crate) fn recovers_too_long(&self, peer: &Peer) -> bool {
        peer.recovering_since
            .is_some_and(|since| self.now - since > self.settings.suspicion_timeout.times(2.0))
    }

    fn learn_address(&mut self, addr: SocketAddrV4) -> bool {
        addr != self.settings.me.addr && self.addresses.len() < 2 * MAX_PEERS && self.addresses.insert(addr)
    }

    // Words out.

    pub(crate) fn send(&mut self, to: SocketAddrV4, word: Message) {
        if to == self.settings.me.addr {
            self.local_messages.push_back(word);
        } else {
            self.actions.push_back(Action::Send { to, message: word });
        }
    }

    /// Says it once all that is known now is on disk.
    pub(crate) fn send_when_durable(&mut self, to: SocketAddrV4, word: Message) {
        if self.seeded_bug == Some(SeededBug::SendBeforePersist) {
            return self.send(to, word);
        }
        if self.dirty {
            if self.deferred_sends.len() >= MAX_DEFERRED_SENDS {
                self.deferred_sends.pop_front();
            }
            self.deferred_sends.push_back((to, word));
            return;
        }
        match &mut self.pending_write {
            Some(writing) if writing.sends.len() < MAX_DEFERRED_SENDS => writing.sends.push_back((to, word)),
            Some(_) => {}
            None => self.send(to, word),
        }
    }

    /// What is to be on disk has changed.
    pub(crate) fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    fn start_write(&mut self) {
        let again =
            self.write_failed_at.is_none_or(|at| self.now - at >= self.settings.suspicion_timeout.times(0.5));
        if !self.dirty || self.pending_write.is_some() || !self.host_disk_healthy || !again {
            return;
        }
        self.last_write_id += 1;
        let ticket = WriteId(self.last_write_id);
        self.dirty = false;
        self.persistent.known_progress = self.progress_to_persist();
        self.pending_write = Some(PendingWrite {
            write_id: ticket,
            started_at: self.now,
            position: (
                self.persistent.chosen.view.number,
                self.persistent.state_view,
                self.persistent.revision,
            ),
            progress: self.persistent.progress(),
            sends: std::mem::take(&mut self.deferred_sends),
        });
        self.actions.push_back(Action::Persist { write_id: ticket, state: self.persistent.clone() });
    }

    // Time.

    pub(crate) fn advance_clock(&mut self, now: Nanos) {
        let now = now.max(self.now);
        // One that has slept knows nothing of the others: it listens before it suspects anybody.
        if now - self.now > self.settings.suspicion_timeout.times(0.5) {
            self.listening_since = now;
        }
        self.now = now;
    }

    pub(crate) fn finish_step(&mut self) {
        self.complete_recovery();
        while let Some(word) = self.local_messages.pop_front() {
            self.dispatch(self.settings.me.addr, word);
        }
        let least = self.settings.heartbeat_interval.times(0.25);
        if self.heartbeat_requested && self.now - self.last_heartbeat >= least {
            self.send_heartbeats();
        }
        self.complete_read_indexes();
        self.start_write();
    }

    fn tick(&mut self) {
        if self.now >= self.heartbeat_due {
            self.send_heartbeats();
        }
        self.retransmit_change();
        self.tick_attempt();
        self.start_attempt_when_due();
    }

    fn next_deadline(&self) -> Nanos {
        let mut due = self.heartbeat_due;
        let mut sooner = |at: Nanos| {
            if at > self.now && at < due {
                due = at;
            }
        };
        if self.heartbeat_requested {
            sooner(self.last_heartbeat + self.settings.heartbeat_interval.times(0.25));
        }
        if let Some(run) = &self.attempt {
            sooner(run.next_deadline());
        }
        if let Some((since, delay)) = self.scheduled_attempt {
            sooner(since + delay);
        }
        sooner(self.backoff_until);
        let just_over = Nanos(self.settings.suspicion_timeout.0.saturating_add(1));
        for member in &self.persistent.chosen.view.members {
            if let Some(peer) = self.peers.get(&member.id) {
                sooner(peer.last_heard + just_over);
            }
        }
        due
    }

    fn send_heartbeats(&mut self) {
        self.heartbeat_requested = false;
        self.last_heartbeat = self.now;
        self.heartbeat_due = self.now + self.settings.heartbeat_interval;
        let view = &self.persistent.chosen.view;
        let mut hears: Vec<MemberId> = Vec::new();
        let mut to: BTreeMap<SocketAddrV4, (u64, u64)> = BTreeMap::new();
        for (id, peer) in &self.peers {
            if self.is_reachable(peer) {
                hears.push(*id);
            }
            if self.now - peer.last_heard <= self.settings.suspicion_timeout {
                to.insert(peer.heartbeat.sender.addr, (peer.heartbeat.incarnation, peer.heartbeat.sent_at));
            }
        }
        let deaf = view.members.iter().filter(|member| self.is_suspected(member)).map(|member| member.id);
        let deaf = deaf.collect();
        let next = self.persistent.accepted.iter().flat_map(|vouched| &vouched.next.view.members);
        for member in view.members.iter().chain(next) {
            to.entry(self.address_of(member)).or_default();
        }
        // One who is alone asks everywhere: those it knew may all be gone.
        let in_touch = voters(view).filter(|member| !self.is_suspected(member)).count();
        // Those whom a forced view has closed out may be content with each other, and hear of it only so.
        let closes_out =
            era(view.number) > 0 && view.members.first().is_some_and(|first| first.id == self.member_id());
        if closes_out
            || !self.view_active
            || in_touch <= voters(view).count() / 2
            || !is_member(view, &self.settings.me)
        {
            for addr in &self.addresses {
                to.entry(*addr).or_default();
            }
        }
        to.remove(&self.settings.me.addr);
        let pulse = PeerHeartbeat {
            sender: self.settings.me.clone(),
            view: self.durable_position.0,
            state_view: self.durable_position.1,
            revision: self.durable_position.2,
            prepared: self.recovery.durable_progress.prepared.1,
            accepted: self.recovery.durable_progress.accepted.1,
            recovering: !self.recovery.complete,
            commit_revision: self.commit_revision,
            view_active: self.view_active && self.durable_position.0 == view.number,
            stopped: self.is_changing_view(),
            disk_healthy: self.disk_healthy() && !self.recovery.outdated,
            incarnation: self.incarnation,
            sent_at: self.now.0,
            echo: (0, 0),
            reachable: hears,
            suspected: deaf,
        };
        for (to, echo) in to {
            self.send(to, Message::Heartbeat(PeerHeartbeat { echo, ..pulse.clone() }));
        }
        // Words may be lost, and the view may have changed since they were asked.
        self.send_read_index_requests();
    }

    // Words in.

    pub(crate) fn dispatch(&mut self, from: SocketAddrV4, word: Message) {
        let Some(word) = self.defer_until_recovered(from, word) else { return };
        match word {
            Message::Heartbeat(pulse) => self.handle_heartbeat(from, pulse),
            Message::RecoveryResponse { sender: who, member_id: of, incarnation: life, progress: mark } => {
                self.handle_recovery_response(who, of, life, mark)
            }
            Message::NewerView { chosen: base } => {
                if base.view.number > self.persistent.chosen.view.number {
                    self.adopt_view(base);
                    self.heartbeat_requested = true;
                }
            }
            Message::StateTransfer { chosen: base, revision: no, state } => {
                self.handle_state_transfer(base, no, state)
            }
            Message::Replicate { view, revision: no, state } => self.handle_replicate(from, view, no, state),
            Message::ReplicateAck { sender: who, view, revision: no } => {
                self.record_progress(
                    who,
                    DurableProgress { state: (view, no), ..DurableProgress::default() },
                );
                if let Some(peer) = self.peers.get_mut(&who)
                    && (view, no) > (peer.state_view, peer.revision)
                {
                    (peer.state_view, peer.revision) = (view, no);
                }
                self.commit_when_replicated();
            }
            Message::Commit { view, revision: no } => {
                if view == self.persistent.chosen.view.number && self.has_view_state() && !self.may_lead() {
                    self.commit_revision = self.commit_revision.max(no);
                    self.activate_view();
                }
            }
            Message::Prepare { proposal: ballot, current: base, revision: no } => {
                self.handle_prepare(from, ballot, base, no)
            }
            Message::Prepared {
                sender: who,
                proposal: ballot,
                view: base,
                revision: holds,
                state,
                accepted: vouched,
            } => {
                self.handle_prepared(who, ballot, base, holds, state, vouched);
            }
            Message::Rejected { view: base, prepared: promise } => self.handle_rejected(base, promise),
            Message::Accept { proposal: ballot, current: base, next, revision: no, state } => {
                self.handle_accept(from, ballot, base, next, no, state);
            }
            Message::Accepted { sender: who, proposal: ballot, view: base } => {
                self.handle_accepted(who, ballot, base)
            }
            Message::Chosen { proposal: ballot, view: base, view_active: force } => {
                self.handle_chosen(ballot, base, force)
            }
            Message::ReadIndexRequest { view, incarnation: life, sequence: round } => {
                self.handle_read_index_request(from, view, life, round)
            }
            Message::ReadIndexResponse { sender: who, view, incarnation: life, sequence: round } => {
                self.handle_read_index_response(who, view, life, round)
            }
        }
    }

    fn handle_heartbeat(&mut self, from: SocketAddrV4, told: PeerHeartbeat) {
        let id = told.sender.id;
        if id == self.member_id() || id == MemberId(0) {
            return;
        }
        self.learn_address(from);
        if !self.peers.contains_key(&id) && self.peers.len() >= MAX_PEERS {
            let base = &self.persistent.chosen.view;
            let stalest = self.peers.iter().filter(|(id, _)| voters(base).all(|member| member.id != **id));
            match stalest.min_by_key(|(_, peer)| peer.last_heard).map(|(id, _)| *id) {
                Some(stalest) => self.peers.remove(&stalest),
                None => return,
            };
        }
        let was = self.peers.get(&id).is_some_and(|peer| self.is_reachable(peer));
        let away = self.peers.get(&id).is_none_or(|peer| {
            self.now - peer.last_heard > self.settings.suspicion_timeout
                || peer.heartbeat.incarnation != told.incarnation
        });
        if let Some(peer) = self.peers.get(&id)
            && peer.heartbeat.incarnation == told.incarnation
            && peer.heartbeat.sent_at >= told.sent_at
        {
            return; // doubled or overtaken
        }
        let now = self.now;
        let peer = self.peers.entry(id).or_insert_with(|| Peer {
            heartbeat: told.clone(),
            last_heard: now,
            last_echoed: None,
            state_view: told.state_view,
            revision: told.revision,
            excluded_until: Nanos(0),
            state_sent_at: None,
            recovering_since: None,
        });
        peer.last_heard = now;
        if told.echo.0 == self.incarnation && told.echo.1 <= now.0 {
            peer.last_echoed = peer.last_echoed.max(Some(Nanos(told.echo.1)));
        }
        if (told.state_view, told.revision) > (peer.state_view, peer.revision) {
            (peer.state_view, peer.revision) = (told.state_view, told.revision);
        }
        peer.recovering_since = told.recovering.then(|| peer.recovering_since.unwrap_or(now));
        peer.heartbeat = told.clone();
        let is = self.peers.get(&id).is_some_and(|peer| self.is_reachable(peer));
        self.heartbeat_requested |= is != was || away || told.view > self.persistent.chosen.view.number;
        self.answer_recovery(from, &told);
        self.reset_outdated_disk(&told);
        self.send_missing_state(from, &told);
        self.follow_leader(&told);
        self.activate_when_replicated();
        self.commit_when_replicated();
    }

    /// What the sequencer's pulse says of the view and of what is taken in it.
    pub(crate) fn follow_leader(&mut self, told: &PeerHeartbeat) {
        let id = told.sender.id;
        let view = &self.persistent.chosen.view;
        if told.view == view.number
            && told.view_active
            && !self.view_active
            && self.has_view_state()
            && !self.is_changing_view()
            && !self.may_lead()
        {
            let sequencer = view.members.first().map(|member| member.id);
            if sequencer != Some(self.member_id()) && sequencer == Some(id) {
                self.commit_revision = self.commit_revision.max(told.commit_revision);
                self.activate_view();
            }
        } else if told.view == view.number && self.view_active && !self.may_lead() {
            self.commit_revision = self.commit_revision.max(told.commit_revision);
            self.deliver();
        }
    }

    /// Gives one that is behind what it lacks: the state if it is in the view, else word of it.
    fn send_missing_state(&mut self, from: SocketAddrV4, told: &PeerHeartbeat) {
        let view = &self.persistent.chosen.view;
        let behind = told.view < view.number;
        if (!behind && (told.view > view.number || told.state_view >= view.number))
            || !self.may_announce_view()
        {
            return;
        }
        let inside =
            view.number > ViewNumber(0) && view.members.iter().any(|member| member.id == told.sender.id);
        let first = view.members.first();
        let first_does = first.is_some_and(|first| {
            first.id != self.member_id()
                && first.id != told.sender.id
                && self.peers.get(&first.id).is_some_and(|peer| {
                    self.is_reachable(peer)
                        && peer.heartbeat.view == view.number
                        && peer.heartbeat.state_view == view.number
                })
        });
        if !inside || !self.has_view_state() {
            if behind {
                let base = self.persistent.chosen.clone();
                self.send(from, Message::NewerView { chosen: base });
            }
            return;
        }
        if first_does {
            return;
        }
        let (now, pause) = (self.now, self.settings.heartbeat_interval);
        if let Some(peer) = self.peers.get_mut(&told.sender.id)
            && peer.state_sent_at.is_none_or(|at| now - at >= pause)
        {
            peer.state_sent_at = Some(now);
            let (base, no, state) =
                (self.persistent.chosen.clone(), self.persistent.revision, self.persistent.state.clone());
            self.send(from, Message::StateTransfer { chosen: base, revision: no, state });
        }
    }

    fn handle_state_transfer(&mut self, base: ChosenView, no: Revision, state: Arc<[u8]>) {
        if base.view.number > self.persistent.chosen.view.number {
            self.adopt_view(base.clone());
        }
        let newer = self.persistent.state_view < base.view.number || self.persistent.revision < no;
        let mine = base == self.persistent.chosen && is_member(&base.view, &self.settings.me);
        if mine && newer && !self.is_changing_view() && !(self.may_lead() && self.has_view_state()) {
            // In the same view a later number means that all before it are taken.
            if self.has_view_state() && self.persistent.revision < no {
                self.commit_revision = self.commit_revision.max(Revision(no.0.saturating_sub(1)));
                self.deliver();
            }
            (self.persistent.state_view, self.persistent.revision, self.persistent.state) =
                (base.view.number, no, state);
            self.mark_dirty();
        }
    }

    /// Takes over a view that is known to be chosen. Its state comes along only if it is the one
    /// that this member vouched for; else the newest state only remembers until `Whole` comes.
    pub(crate) fn adopt_view(&mut self, base: ChosenView) {
        if base.view.number <= self.persistent.chosen.view.number {
            return;
        }
        if self.is_excluded_by(&base) && self.seeded_bug != Some(SeededBug::UnfencedForcedView) {
            return self.reset_identity();
        }
        if era(base.view.number) > era(self.persistent.chosen.view.number) {
            // An operator has vouched for this disk, whatever is missing on it.
            (self.recovery.complete, self.recovery.outdated) = (true, false);
        }
        let vouched = self.persistent.accepted.take().filter(|vouched| vouched.next == base);
        if let Some(vouched) = vouched {
            if let Some(state) = vouched.state {
                self.persistent.state = state;
            }
            (self.persistent.state_view, self.persistent.revision) = (base.view.number, vouched.revision);
        }
        for member in voters(&base.view) {
            if member.addr != self.settings.me.addr && self.addresses.len() < 2 * MAX_PEERS {
                self.addresses.insert(member.addr);
            }
        }
        let was = self.persistent.chosen.view.number;
        self.persistent.prepared = ProposalNumber::default();
        self.highest_term = 0;
        self.commit_revision = view_start(&base);
        self.persistent.chosen = base;
        self.restart_read_indexes();
        self.view_active = false;
        self.attempt = None;
        self.scheduled_attempt = None;
        self.competing_proposal_at = None;
        self.unstable_since = self.now;
        self.mark_dirty();
        if let Some(flight) = self.pending_change.take() {
            self.unresolved_changes.push((flight.change_id, was, flight.revision));
        }
        for (proposal, _) in std::mem::take(&mut self.queued_changes) {
            self.actions.push_back(Action::Rejected { change_id: proposal });
        }
        self.resolve_changes();
        if !is_member(&self.persistent.chosen.view, &self.settings.me) && self.entered_view.take().is_some() {
            self.actions.push_back(Action::ViewLeft);
        }
    }

    /// What became of proposals that were on their way when their view ended: taken if the next
    /// view began at their number or above.
    fn resolve_changes(&mut self) {
        let base = self.persistent.chosen.clone();
        let force = self.view_active;
        let guesses = self.seeded_bug == Some(SeededBug::GuessForgottenViewStart);
        let orders = &mut self.actions;
        self.unresolved_changes.retain(|(proposal, view, no)| {
            let next = ViewNumber(view.0.saturating_add(1));
            let Some((_, floor)) = base.view_starts.iter().find(|(view, _)| *view == next) else {
                if guesses {
                    orders.push_back(Action::Rejected { change_id: *proposal });
                }
                return base.view_starts.first().is_some_and(|(oldest, _)| *oldest <= next);
            };
            if floor < no {
                orders.push_back(Action::Rejected { change_id: *proposal });
            } else if force || base.view.number > next {
                orders.push_back(Action::Committed { change_id: *proposal, revision: *no });
            } else {
                return true; // chosen, but perhaps not yet on all disks
            }
            false
        });
    }

    pub(crate) fn activate_view(&mut self) {
        if !self.recovery.complete
            || !self.has_view_state()
            || self.persistent.chosen.view.number == ViewNumber(0)
        {
            return;
        }
        if !self.view_active {
            self.view_active = true;
            self.heartbeat_requested = true;
            self.scheduled_attempt = None;
            let view = self.persistent.chosen.view.clone();
            if self.entered_view.as_ref() != Some(&view) {
                self.actions.push_back(Action::ViewActivated { view: view.clone() });
                self.entered_view = Some(view);
            }
            self.resolve_changes();
        }
        self.deliver();
    }

    /// The sequencer of a view that was chosen before all had it on disk waits until they have.
    fn activate_when_replicated(&mut self) {
        let view = &self.persistent.chosen.view;
        if self.view_active
            || self.is_changing_view()
            || !self.may_lead()
            || !self.has_view_state()
            || self.attempt.is_some()
        {
            return;
        }
        let all = view.members.iter().all(|member| {
            if member.id == self.member_id() {
                return self.durable_position.0 == view.number && self.durable_position.1 == view.number;
            }
            self.peers.get(&member.id).is_some_and(|peer| {
                peer.heartbeat.view == view.number
                    && peer.heartbeat.state_view == view.number
                    && !peer.heartbeat.stopped
            })
        });
        if all && view.members.len() > self.settings.fault_tolerance {
            self.activate_view();
        }
    }

    fn deliver(&mut self) {
        let newer = self.delivered.as_ref().is_none_or(|(no, _)| *no < self.persistent.revision);
        if self.view_active
            && self.has_view_state()
            && self.commit_revision >= self.persistent.revision
            && newer
        {
            let (no, state) = (self.persistent.revision, self.persistent.state.clone());
            self.delivered = Some((no, state.clone()));
            self.actions.push_back(Action::Deliver {
                view: self.persistent.chosen.view.number,
                revision: no,
                state,
            });
        }
    }

    // Changes.

    fn other_members(&self) -> Vec<SocketAddrV4> {
        let members =
            self.persistent.chosen.view.members.iter().filter(|member| member.id != self.member_id());
        members.map(|member| self.address_of(member)).collect()
    }

    fn replicate_next(&mut self) {
        if self.pending_change.is_some() || !self.is_leader() {
            return;
        }
        let Some((proposal, state)) = self.queued_changes.pop_front() else { return };
        self.persistent.revision = Revision(self.persistent.revision.0.saturating_add(1));
        self.persistent.state = state;
        self.mark_dirty();
        self.unstable_since = self.now;
        let (view, no) = (self.persistent.chosen.view.number, self.persistent.revision);
        let pause = self.settings.heartbeat_interval;
        self.pending_change = Some(PendingChange {
            change_id: proposal,
            revision: no,
            started_at: self.now,
            retry_at: self.now + pause,
            backoff: pause,
        });
        for to in self.other_members() {
            self.send(to, Message::Replicate { view, revision: no, state: self.persistent.state.clone() });
        }
        self.commit_when_replicated();
    }

    fn has_stored(&self, member: &Member, no: Revision) -> bool {
        let view = self.persistent.chosen.view.number;
        if member.id == self.member_id() {
            return self.durable_position.1 == view && self.durable_position.2 >= no;
        }
        self.seeded_bug == Some(SeededBug::CommitOnOneDisk)
            || self.peers.get(&member.id).is_some_and(|peer| peer.state_view == view && peer.revision >= no)
    }

    /// The change is taken once it is on the disk of every member, and on enough disks at all.
    fn commit_when_replicated(&mut self) {
        let Some(flight) = &self.pending_change else { return };
        let (proposal, no) = (flight.change_id, flight.revision);
        let view = &self.persistent.chosen.view;
        if view.members.len() <= self.settings.fault_tolerance
            || !view.members.iter().all(|member| self.has_stored(member, no))
        {
            return;
        }
        let view = view.number;
        self.pending_change = None;
        self.commit_revision = no;
        self.actions.push_back(Action::Committed { change_id: proposal, revision: no });
        for to in self.other_members() {
            self.send(to, Message::Commit { view, revision: no });
        }
        self.deliver();
        self.replicate_next();
    }

    fn retransmit_change(&mut self) {
        let (now, limit) = (self.now, self.settings.suspicion_timeout);
        let Some(flight) = &self.pending_change else { return };
        let (no, late) = (flight.revision, now - flight.started_at > limit.times(2.0));
        if now < flight.retry_at {
            return;
        }
        let members: Vec<Member> = self.persistent.chosen.view.members.clone();
        let view = self.persistent.chosen.view.number;
        for member in &members {
            if member.id == self.member_id() || self.has_stored(member, no) {
                continue;
            }
            let to = self.address_of(member);
            self.send(to, Message::Replicate { view, revision: no, state: self.persistent.state.clone() });
            if late && let Some(peer) = self.peers.get_mut(&member.id) {
                peer.excluded_until = now + limit.times(2.0);
            }
        }
        if let Some(flight) = &mut self.pending_change {
            flight.backoff = flight.backoff.times(2.0).min(limit);
            flight.retry_at = now + flight.backoff;
        }
    }

    fn handle_replicate(&mut self, from: SocketAddrV4, view: ViewNumber, no: Revision, state: Arc<[u8]>) {
        if view != self.persistent.chosen.view.number || !self.has_view_state() || self.may_lead() {
            self.heartbeat_requested |= view > self.persistent.chosen.view.number;
            return;
        }
        let next = Revision(self.persistent.revision.0.saturating_add(1));
        if no == next && !self.is_changing_view() {
            // The sequencer goes on only when the last change is on all disks, and in force.
            self.commit_revision = self.commit_revision.max(self.persistent.revision);
            self.activate_view();
            (self.persistent.revision, self.persistent.state) = (no, state);
            self.unstable_since = self.now;
            self.mark_dirty();
        }
        if no <= self.persistent.revision {
            let who = self.member_id();
            self.send_when_durable(from, Message::ReplicateAck { sender: who, view, revision: no });
        }
    }
}

/// All who vote on what follows a view.
pub(crate) fn voters(view: &View) -> impl Iterator<Item = &Member> {
    view.members.iter().chain(&view.former_voters)
}

/// Before view 1 members are known by address, later only by the life of their disk.
pub(crate) fn is_same_member(view: ViewNumber, seat: &Member, who: &Member) -> bool {
    if view == ViewNumber(0) { seat.addr == who.addr } else { seat.id == who.id }
}

pub(crate) fn is_member(view: &View, who: &Member) -> bool {
    view.members.iter().any(|seat| is_same_member(view.number, seat, who))
}

/// Where the view began.
pub(crate) fn view_start(base: &ChosenView) -> Revision {
    base.view_starts.last().map_or(Revision(0), |(_, no)| *no)
}

fn is_valid_member(member: &Member) -> bool {
    member.zone.len() <= MAX_ZONE_BYTES
}

fn is_valid_chosen_view(base: &ChosenView) -> bool {
    base.view.members.len() <= MAX_MEMBERS
        && base.view.former_voters.len() <= MAX_MEMBERS
        && base.view_starts.len() <= MAX_VIEW_STARTS
        && voters(&base.view).all(is_valid_member)
}

/// Words beyond all bounds are dropped whole.
fn is_valid_message(word: &Message) -> bool {
    match word {
        Message::Heartbeat(pulse) => {
            is_valid_member(&pulse.sender)
                && pulse.reachable.len() <= MAX_PEERS
                && pulse.suspected.len() <= MAX_PEERS
        }
        Message::NewerView { chosen: base }
        | Message::StateTransfer { chosen: base, .. }
        | Message::Prepare { current: base, .. } => is_valid_chosen_view(base),
        Message::Prepared { sender: who, accepted: vouched, .. } => {
            is_valid_member(who) && vouched.as_ref().is_none_or(|vouched| is_valid_chosen_view(&vouched.next))
        }
        Message::Accept { current: base, next, .. } => {
            is_valid_chosen_view(base) && is_valid_chosen_view(next)
        }
        Message::Accepted { sender: who, .. } | Message::RecoveryResponse { sender: who, .. } => {
            is_valid_member(who)
        }
        Message::ReplicateAck { .. }
        | Message::Replicate { .. }
        | Message::Commit { .. }
        | Message::Rejected { .. }
        | Message::Chosen { .. }
        | Message::ReadIndexRequest { .. }
        | Message::ReadIndexResponse { .. } => true,
    }
}
