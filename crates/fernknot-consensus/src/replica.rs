//! State of a replica, and the queries that several modules share. Each other module of the crate root implements one
//! concern; [`crate::consensus`] routes inputs to them.

use std::collections::BTreeSet;
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use crate::state::activation::ViewActivation;
use crate::state::attempt::ViewChange;
use crate::state::clock::Clock;
use crate::state::disk::Disk;
use crate::state::heartbeat_timer::HeartbeatTimer;
use crate::state::outbox::{Envelope, Outbox};
use crate::state::peers::{Peer, Peers};
use crate::state::random::Random;
use crate::state::read_indexes::ReadIndexes;
use crate::state::recovery::DiskRecovery;
use crate::state::replication::Replication;
use crate::types::{
    ChosenView, ConsensusSettings, MAX_MEMBERS, Member, MemberId, Message, PersistentState, ProposalNumber,
    SeededBug, View, ViewNumber,
};

/// Shortest heartbeat interval that the state machine supports; a shorter setting is raised to it.
const MIN_HEARTBEAT_INTERVAL: Nanos = Nanos(1);
/// Shortest suspicion time-out that the state machine supports; a shorter setting is raised to it.
const MIN_SUSPICION_TIMEOUT: Nanos = Nanos(2);

/// State of one replica: its settings, and one struct for each concern.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Replica {
    pub settings: ConsensusSettings,
    pub seeded_bug: Option<SeededBug>,
    /// Random identifier of this run of the process, echoed in responses to its messages. It tells them from
    /// responses to a process before a restart.
    pub incarnation: u64,
    pub random: Random,
    pub clock: Clock,
    pub disk: Disk,
    pub recovery: DiskRecovery,
    pub peers: Peers,
    pub activation: ViewActivation,
    pub replication: Replication,
    pub view_change: ViewChange,
    pub heartbeat_timer: HeartbeatTimer,
    pub read_indexes: ReadIndexes,
    pub outbox: Outbox,
}

impl Replica {
    /// Starts a replica. `saved` is the state that the host wrote last, `None` if the disk is empty; a state with
    /// another member id is ignored.
    pub fn new(
        seed: u64,
        mut settings: ConsensusSettings,
        saved: Option<PersistentState>,
        now: Nanos,
        seeded_bug: Option<SeededBug>,
    ) -> Replica {
        settings.heartbeat_interval = settings.heartbeat_interval.max(MIN_HEARTBEAT_INTERVAL);
        settings.suspicion_timeout = settings.suspicion_timeout.max(MIN_SUSPICION_TIMEOUT);
        let saved = saved.filter(|saved| saved.member_id == settings.me.id);
        let is_empty = saved.is_none();
        let state = saved.unwrap_or_else(|| initial_state(&settings));
        let trusts_disk = is_empty || seeded_bug == Some(SeededBug::OutdatedDiskVotes);
        let must_not_lead_through = match seeded_bug {
            Some(SeededBug::LeadAgainAfterRestart) => ViewNumber(0),
            _ => newest_known_view(&state),
        };
        let mut random = Random::new(seed);
        Replica {
            seeded_bug,
            incarnation: random.next(),
            random,
            clock: Clock::new(now, settings.suspicion_timeout),
            recovery: DiskRecovery::new(&state, trusts_disk),
            peers: Peers::new(&settings.me, known_addresses(&settings, &state)),
            activation: ViewActivation::new(must_not_lead_through, now),
            replication: Replication::new(state.chosen.start()),
            view_change: ViewChange::new(state.prepared.term, now),
            heartbeat_timer: HeartbeatTimer::new(settings.heartbeat_interval, now),
            read_indexes: ReadIndexes::default(),
            outbox: Outbox::new(settings.me.addr),
            disk: Disk::new(state),
            settings,
        }
    }

    pub fn has_bug(&self, bug: SeededBug) -> bool {
        self.seeded_bug == Some(bug)
    }

    // This replica.

    pub fn me(&self) -> &Member {
        &self.settings.me
    }

    pub fn member_id(&self) -> MemberId {
        self.settings.me.id
    }

    pub fn is_me(&self, member: &Member) -> bool {
        member.id == self.member_id()
    }

    pub fn now(&self) -> Nanos {
        self.clock.now
    }

    pub fn disk_healthy(&self) -> bool {
        let max_write_time = self.settings.suspicion_timeout.times(0.5);
        self.disk.is_healthy(self.now(), max_write_time)
    }

    // The view.

    /// Returns the last view known to be chosen, with the starts of earlier ones.
    pub fn chosen(&self) -> &ChosenView {
        &self.disk.state.chosen
    }

    /// Returns the last view known to be chosen.
    pub fn view(&self) -> &View {
        &self.disk.state.chosen.view
    }

    pub fn is_member(&self) -> bool {
        self.view().is_member(self.me())
    }

    /// Whether this replica has prepared the change of the view, and stores no more changes in it.
    pub fn is_changing_view(&self) -> bool {
        self.disk.state.prepared != ProposalNumber::default()
    }

    /// Whether this replica is the first member of the view, and the view is later than any that an earlier process
    /// on this disk may have led. No change of an earlier process can be in flight in it then.
    pub fn may_lead(&self) -> bool {
        let view = self.view();
        let is_first = view.members.first().is_some_and(|first| self.is_me(first));
        view.number > self.activation.must_not_lead_through && is_first
    }

    /// Whether this replica leads the active view and accepts changes.
    pub fn is_leader(&self) -> bool {
        self.activation.active && !self.is_changing_view() && self.may_lead()
    }

    /// Whether this replica is a member and has the first state of the view or a later one, so that it can store
    /// changes.
    pub fn has_view_state(&self) -> bool {
        self.disk.state.state_view == self.view().number && self.is_member()
    }

    /// Whether this number of votes chooses the next view.
    pub fn is_quorum(&self, votes: usize) -> bool {
        let view = self.view();
        let is_founding = view.number == ViewNumber(0) && !self.has_bug(SeededBug::FoundByMajority);
        if is_founding {
            votes >= view.founding_quorum(self.settings.fault_tolerance)
        } else {
            view.is_majority(votes)
        }
    }

    /// Whether the view may be announced to others. A forced view is on one disk only, and must not be announced
    /// before it is durable there.
    pub fn may_announce_view(&self) -> bool {
        self.disk.durable_view().era() == self.view().number.era()
    }

    // Peers.

    pub fn is_reachable(&self, peer: &Peer) -> bool {
        peer.is_reachable(&self.clock)
    }

    pub fn is_suspected(&self, member: &Member) -> bool {
        self.peers.is_suspected(member, &self.clock)
    }

    pub fn address_of(&self, member: &Member) -> SocketAddrV4 {
        self.peers.address_of(member)
    }

    /// Returns the number of voters that are reachable, including this replica.
    pub fn reachable_voters(&self) -> usize {
        let reaches = |voter: &&Member| {
            self.is_me(voter) || self.peers.get(voter.id).is_some_and(|peer| self.is_reachable(peer))
        };
        self.view().voters().filter(reaches).count()
    }

    // Messages and writes.

    pub fn send(&mut self, to: SocketAddrV4, message: Message) {
        self.outbox.send(to, message);
    }

    /// Sends the message once the current state is durable.
    pub fn send_when_durable(&mut self, to: SocketAddrV4, message: Message) {
        if self.has_bug(SeededBug::SendBeforePersist) {
            return self.send(to, message);
        }
        if let Some(Envelope { to, message }) = self.disk.defer_until_durable(Envelope { to, message }) {
            self.send(to, message);
        }
    }

    /// Sends a replica the newest view, if it may be announced.
    pub fn announce_view(&mut self, to: SocketAddrV4) {
        if self.may_announce_view() {
            let chosen = self.chosen().clone();
            self.send(to, Message::NewerView { chosen });
        }
    }

    // Time.

    /// Returns the time at which the host has to poll again at the latest.
    pub fn next_deadline(&self) -> Nanos {
        let now = self.clock.now;
        let after_timeout = Nanos(self.settings.suspicion_timeout.0.saturating_add(1));
        let members = self.view().members.iter();
        let monitored_peers = members.filter_map(|member| self.peers.get(member.id));
        let deadlines = [
            self.heartbeat_timer.requested_at(),
            self.view_change.attempt.as_ref().map(|attempt| attempt.next_deadline()),
            self.view_change.scheduled.map(|scheduled| scheduled.since + scheduled.delay),
            Some(self.view_change.backoff_until),
        ];
        let deadlines = deadlines
            .into_iter()
            .flatten()
            .chain(monitored_peers.map(|peer| peer.last_heartbeat_at + after_timeout));
        let heartbeat = self.heartbeat_timer.due_at();
        deadlines.filter(|at| *at > now).fold(heartbeat, Nanos::min)
    }
}

/// Returns the state of an empty disk. For a founder, its view 0 has the founders as voters.
fn initial_state(settings: &ConsensusSettings) -> PersistentState {
    let mut state = PersistentState::empty(settings.me.id);
    if settings.bootstrap && settings.founders.contains(&settings.me.addr) {
        // View 0 identifies voters by address, since the ids of the others' empty disks are not known yet.
        let founders: BTreeSet<SocketAddrV4> = settings.founders.iter().copied().collect();
        let founder = |addr| Member { id: MemberId(0), addr, zone: String::new() };
        state.chosen.view.members = founders.into_iter().take(MAX_MEMBERS).map(founder).collect();
    }
    state
}

/// Returns the addresses of other replicas named in the settings and on disk.
fn known_addresses(settings: &ConsensusSettings, state: &PersistentState) -> BTreeSet<SocketAddrV4> {
    let next = state.accepted.iter().flat_map(|accepted| accepted.next.view.voters());
    let voters = state.chosen.view.voters().chain(next);
    settings.founders.iter().copied().chain(voters.map(|voter| voter.addr)).collect()
}

/// Returns the number of the newest view that an earlier process may have led.
fn newest_known_view(state: &PersistentState) -> ViewNumber {
    let accepted = state.accepted.as_ref().map_or(ViewNumber(0), |accepted| accepted.next.view.number);
    state.chosen.view.number.max(accepted)
}
