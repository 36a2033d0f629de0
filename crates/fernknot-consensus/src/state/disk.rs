//! State to be written to disk, the durable part of it, and the messages that wait for a write.

use std::collections::VecDeque;

use fernknot::interface::Nanos;

use super::outbox::Envelope;
use crate::types::{DurableProgress, PersistentState, ViewNumber, WriteId};

/// Maximum number of messages that wait for one write. Beyond it, further messages for the write in flight are
/// dropped, and the oldest of those for the next write; the protocol retransmits them.
const MAX_DEFERRED_SENDS: usize = 64;

/// State of the replica's disk: what is to be written, what is durable, and the write in flight.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Disk {
    /// State to be written, which includes all changes since the last write.
    pub state: PersistentState,
    /// Progress that is durable, according to the host's write results.
    pub durable: DurableProgress,
    /// Whether `state` has changed since the last write began.
    dirty: bool,
    pending_write: Option<PendingWrite>,
    /// Messages that wait for the write after the pending one.
    deferred_sends: VecDeque<Envelope>,
    last_write_id: u64,
    host_reports_healthy: bool,
    write_failed_at: Option<Nanos>,
}

/// A write whose result the host has not reported.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingWrite {
    write_id: WriteId,
    started_at: Nanos,
    /// Progress that is durable once the write has succeeded.
    progress: DurableProgress,
    /// Messages to send after that.
    sends: VecDeque<Envelope>,
}

/// Effects of a successful write.
#[derive(Debug)]
pub(crate) struct CompletedWrite {
    /// Whether another view, or the state of another view, has become durable.
    pub view_changed: bool,
    /// Messages that waited for the write.
    pub sends: VecDeque<Envelope>,
}

impl Disk {
    pub fn new(state: PersistentState) -> Disk {
        Disk {
            durable: state.progress(),
            state,
            dirty: false,
            pending_write: None,
            deferred_sends: VecDeque::new(),
            last_write_id: 0,
            host_reports_healthy: true,
            write_failed_at: None,
        }
    }

    /// Returns the last view that is durable.
    pub fn durable_view(&self) -> ViewNumber {
        self.durable.prepared.view
    }

    /// Requests a write, after `state` has changed.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Whether the host reports the disk as healthy, the last write has not failed, and none has been in flight for
    /// longer than `max_write_time`.
    pub fn is_healthy(&self, now: Nanos, max_write_time: Nanos) -> bool {
        let is_slow = |write: &PendingWrite| now - write.started_at > max_write_time;
        self.host_reports_healthy
            && self.write_failed_at.is_none()
            && !self.pending_write.as_ref().is_some_and(is_slow)
    }

    /// Records the disk health that the host reports. Returns whether it has changed.
    pub fn set_healthy(&mut self, healthy: bool) -> bool {
        let changed = self.host_reports_healthy != healthy;
        self.host_reports_healthy = healthy;
        if healthy {
            self.write_failed_at = None;
        }
        changed
    }

    /// Defers the message until the current `state` is durable. Returns the message if that is the case already.
    pub fn defer_until_durable(&mut self, envelope: Envelope) -> Option<Envelope> {
        if self.dirty {
            if self.deferred_sends.len() >= MAX_DEFERRED_SENDS {
                self.deferred_sends.pop_front();
            }
            self.deferred_sends.push_back(envelope);
            return None;
        }
        match &mut self.pending_write {
            Some(write) if write.sends.len() < MAX_DEFERRED_SENDS => write.sends.push_back(envelope),
            Some(_) => {}
            None => return Some(envelope),
        }
        None
    }

    /// Whether a write is due. There is one at a time, and after a failure none until `retry_pause` is over.
    pub fn needs_write(&self, now: Nanos, retry_pause: Nanos) -> bool {
        let may_retry = self.write_failed_at.is_none_or(|at| now - at >= retry_pause);
        self.dirty && self.pending_write.is_none() && self.host_reports_healthy && may_retry
    }

    /// Begins a write of `state`.
    pub fn start_write(&mut self, now: Nanos) -> WriteId {
        self.last_write_id += 1;
        let write_id = WriteId(self.last_write_id);
        self.dirty = false;
        self.pending_write = Some(PendingWrite {
            write_id,
            started_at: now,
            progress: self.state.progress(),
            sends: std::mem::take(&mut self.deferred_sends),
        });
        write_id
    }

    /// Removes and returns the pending write if it has this id.
    pub fn take_pending_write(&mut self, write_id: WriteId) -> Option<PendingWrite> {
        self.pending_write.take_if(|write| write.write_id == write_id)
    }

    /// Records that the write has succeeded. Returns what has become possible by that.
    pub fn complete_write(&mut self, write: PendingWrite) -> CompletedWrite {
        self.write_failed_at = None;
        let before = (self.durable_view(), self.durable.state.view);
        self.durable = write.progress;
        let view_changed = before != (self.durable_view(), self.durable.state.view);
        CompletedWrite { view_changed, sends: write.sends }
    }

    /// Records that the write has failed. The content of the disk is unknown, so everything has to be written again.
    pub fn fail_write(&mut self, mut write: PendingWrite, now: Nanos) {
        self.write_failed_at = Some(now);
        self.dirty = true;
        write.sends.append(&mut self.deferred_sends);
        self.deferred_sends = write.sends;
    }

    /// Continues on the disk of the previous identity, whose content is no longer valid.
    pub fn inherit_from(&mut self, previous: &mut Disk) {
        self.last_write_id = previous.last_write_id;
        self.host_reports_healthy = previous.host_reports_healthy;
        self.write_failed_at = previous.write_failed_at;
        // A write of the previous identity may still be in flight; its result must not count for the new identity.
        self.pending_write = previous.pending_write.take();
        if let Some(write) = &mut self.pending_write {
            write.progress = DurableProgress::default();
            write.sends.clear();
        }
    }
}
