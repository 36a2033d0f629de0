//! Sending and handling of heartbeats.

use std::collections::BTreeMap;
use std::net::SocketAddrV4;

use crate::replica::Replica;
use crate::types::{HeartbeatEcho, MemberId, Message, PeerHeartbeat};

impl Replica {
    /// Sends a heartbeat to each of the current receivers.
    pub fn send_heartbeats(&mut self) {
        self.heartbeat_timer.restart(self.clock.now);
        let heartbeat = self.heartbeat();
        for (to, echo) in self.heartbeat_receivers() {
            self.send(to, Message::Heartbeat(PeerHeartbeat { echo, ..heartbeat.clone() }));
        }
        // Retransmits, since messages may be lost and the view may have changed since the read indexes were requested.
        self.send_read_index_requests();
    }

    /// Returns the status of this replica for its heartbeats. Reports only progress that is durable.
    fn heartbeat(&self) -> PeerHeartbeat {
        let durable = &self.disk.durable;
        let view = self.view();
        let reachable = self.peers.iter().filter(|peer| self.is_reachable(peer));
        let suspected = view.members.iter().filter(|member| self.is_suspected(member));
        PeerHeartbeat {
            sender: self.me().clone(),
            view: durable.prepared.view,
            state_view: durable.state.view,
            revision: durable.state.revision,
            prepared: durable.prepared.proposal,
            accepted: durable.accepted.proposal,
            recovering: !self.recovery.complete,
            commit_revision: self.replication.commit_revision,
            view_active: self.activation.active && self.disk.durable_view() == view.number,
            changing_view: self.is_changing_view(),
            disk_healthy: self.disk_healthy() && !self.recovery.outdated,
            incarnation: self.incarnation,
            sent_at: self.clock.now.0,
            echo: HeartbeatEcho::default(),
            reachable: reachable.map(|peer| peer.heartbeat.sender.id).collect(),
            suspected: suspected.map(|member| member.id).collect(),
        }
    }

    /// Returns the receivers of heartbeats, and the echo for each: the replicas with a recent heartbeat, the members
    /// of the view and of an accepted next view, and all known addresses if `sends_to_all_addresses` holds.
    fn heartbeat_receivers(&self) -> BTreeMap<SocketAddrV4, HeartbeatEcho> {
        let mut receivers: BTreeMap<SocketAddrV4, HeartbeatEcho> = BTreeMap::new();
        for peer in self.peers.iter().filter(|peer| peer.has_recent_heartbeat(&self.clock)) {
            let PeerHeartbeat { incarnation, sent_at, .. } = peer.heartbeat;
            receivers.insert(peer.heartbeat.sender.addr, HeartbeatEcho { incarnation, sent_at });
        }
        let next = self.disk.state.accepted.iter().flat_map(|accepted| &accepted.next.view.members);
        for member in self.view().members.iter().chain(next) {
            receivers.entry(self.address_of(member)).or_default();
        }
        if self.sends_to_all_addresses() {
            for address in self.peers.addresses() {
                receivers.entry(*address).or_default();
            }
        }
        receivers.remove(&self.me().addr);
        receivers
    }

    /// Whether heartbeats go to all known addresses.
    fn sends_to_all_addresses(&self) -> bool {
        let view = self.view();
        // Without contact to a majority, the known voters may all have been replaced by others.
        let unsuspected_voters = view.voters().filter(|voter| !self.is_suspected(voter)).count();
        // Replicas excluded by a forced view may still be active among themselves, and learn of the view only this way.
        let leads_forced_view =
            view.number.era() > 0 && view.members.first().is_some_and(|first| self.is_me(first));
        leads_forced_view
            || !self.activation.active
            || !view.is_majority(unsuspected_voters)
            || !self.is_member()
    }

    /// Handles another replica's heartbeat: records it unless the same or a newer one of the same process is known,
    /// and sends what the replica lacks.
    pub fn handle_heartbeat(&mut self, from: SocketAddrV4, heartbeat: PeerHeartbeat) {
        let id = heartbeat.sender.id;
        if id == self.member_id() || id == MemberId(0) {
            return;
        }
        self.peers.add_address(from);
        if !self.peers.make_room_for(id, &self.disk.state.chosen.view) {
            return;
        }
        let known = self.peers.get(id);
        let was_reachable = known.is_some_and(|peer| self.is_reachable(peer));
        let is_returning = known.is_none_or(|peer| {
            !peer.has_recent_heartbeat(&self.clock) || peer.heartbeat.incarnation != heartbeat.incarnation
        });
        if known.is_some_and(|peer| is_outdated(&heartbeat, &peer.heartbeat)) {
            return;
        }
        self.peers.record_heartbeat(&heartbeat, self.incarnation, self.clock.now);
        let is_reachable = self.peers.get(id).is_some_and(|peer| self.is_reachable(peer));
        let is_ahead = heartbeat.view > self.view().number;
        self.heartbeat_timer.request_if(is_reachable != was_reachable || is_returning || is_ahead);
        self.answer_heartbeat(from, &heartbeat);
    }

    fn answer_heartbeat(&mut self, from: SocketAddrV4, heartbeat: &PeerHeartbeat) {
        self.answer_recovery(from, heartbeat);
        self.reset_outdated_disk(heartbeat);
        self.send_missing_state(from, heartbeat);
        self.follow_leader(heartbeat);
        self.activate_when_replicated();
        self.commit_when_replicated();
    }

    /// Takes over from a heartbeat of this view that the view is active, if its first member reports it, or the
    /// newest committed revision, if the view is active here already. A replica that may lead the view ignores both.
    pub fn follow_leader(&mut self, heartbeat: &PeerHeartbeat) {
        let view = self.view();
        if heartbeat.view != view.number {
            return;
        }
        let is_active = self.activation.active;
        let may_activate = heartbeat.view_active && !is_active && self.has_view_state();
        if may_activate && !self.is_changing_view() && !self.may_lead() {
            let leader = view.members.first().map(|member| member.id);
            if leader != Some(self.member_id()) && leader == Some(heartbeat.sender.id) {
                self.replication.commit_through(heartbeat.commit_revision);
                self.activate_view();
            }
        } else if is_active && !self.may_lead() {
            self.replication.commit_through(heartbeat.commit_revision);
            self.deliver();
        }
    }
}

/// Whether the heartbeat is a duplicate, or was overtaken by a newer one of the same process.
fn is_outdated(heartbeat: &PeerHeartbeat, newest: &PeerHeartbeat) -> bool {
    newest.incarnation == heartbeat.incarnation && newest.sent_at >= heartbeat.sent_at
}
