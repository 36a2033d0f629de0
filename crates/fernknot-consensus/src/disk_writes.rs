//! Writes of the persistent state, and the handling of their results.

use crate::replica::Replica;
use crate::state::outbox::Envelope;
use crate::types::{Action, WriteId};

impl Replica {
    /// Handles the result of a write: sends the messages that waited for it or, if it failed, defers them to the next
    /// write.
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

    /// Begins a write if the state has changed and no write is in flight. After a failed write, the next one begins
    /// half a suspicion time-out later.
    pub fn write_if_needed(&mut self) {
        let retry_pause = self.settings.suspicion_timeout.times(0.5);
        if !self.disk.needs_write(self.now(), retry_pause) {
            return;
        }
        self.disk.state.known_progress = self.progress_to_persist();
        let write_id = self.disk.start_write(self.clock.now);
        self.outbox.push(Action::Persist { write_id, state: self.disk.state.clone() });
    }
}
