//! What the end of a write and the passing of time allow next.

use fernknot::interface::Nanos;

use crate::replica::Replica;
use crate::state::outbox::Envelope;
use crate::types::WriteId;

impl Replica {
    /// A write has ended: the messages that waited for it leave, or wait for the next one.
    pub fn handle_write_result(&mut self, write_id: WriteId, ok: bool) {
        let Some(write) = self.disk.take_pending_write(write_id) else { return };
        if !ok {
            self.disk.fail_write(write, self.clock.now);
            self.heartbeat_timer.request();
            return;
        }
        let completed = self.disk.complete_write(write);
        self.heartbeat_timer.request_if(completed.view_changed);
        for Envelope { to, message } in completed.sends {
            self.send(to, message);
        }
        self.commit_when_replicated();
    }

    /// When the host has to poll again at the latest.
    pub fn next_deadline(&self) -> Nanos {
        let now = self.clock.now;
        let after_timeout = Nanos(self.settings.suspicion_timeout.0.saturating_add(1));
        let members = self.view().members.iter();
        let silences = members.filter_map(|member| self.peers.get(member.id));
        let deadlines = [
            self.heartbeat_timer.requested_at(),
            self.view_change.attempt.as_ref().map(|attempt| attempt.next_deadline()),
            self.view_change.scheduled.map(|scheduled| scheduled.since + scheduled.delay),
            Some(self.view_change.backoff_until),
        ];
        let deadlines =
            deadlines.into_iter().flatten().chain(silences.map(|peer| peer.last_heard + after_timeout));
        let heartbeat = self.heartbeat_timer.due_at();
        deadlines.filter(|at| *at > now).fold(heartbeat, Nanos::min)
    }
}
