//! What is to be on disk, what of it is durable, and the messages that wait for a write.

use std::collections::VecDeque;

use fernknot::interface::Nanos;

use super::outbox::Envelope;
use crate::types::{DurableProgress, PersistentState, ViewNumber, WriteId};

/// Messages that wait for one write, at most; of those that wait for the next write, the oldest are dropped. Their
/// receivers ask again.
const MAX_DEFERRED_SENDS: usize = 64;

/// The replica's disk.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Disk {
    /// What is to be on disk.
    pub state: PersistentState,
    /// What is on disk, as far as the host has reported.
    pub durable: DurableProgress,
    /// `state` has changed since the last write began.
    dirty: bool,
    pending_write: Option<PendingWrite>,
    /// Wait for the write after the pending one.
    deferred_sends: VecDeque<Envelope>,
    last_write_id: u64,
    host_reports_healthy: bool,
    write_failed_at: Option<Nanos>,
}

/// A write that the host has not reported the end of.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingWrite {
    write_id: WriteId,
    started_at: Nanos,
    /// What will be on disk.
    progress: DurableProgress,
    /// Leave once it is.
    sends: VecDeque<Envelope>,
}

/// What a write that ended well makes possible.
#[derive(Debug)]
pub(crate) struct CompletedWrite {
    /// Another view, or the state of another view, is durable now.
    pub view_changed: bool,
    /// Messages that waited for it.
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

    /// The last view that is durable.
    pub fn durable_view(&self) -> ViewNumber {
        self.durable.prepared.view
    }

    /// What is to be on disk has changed.
    pub fn mark_dirty(&mut self) {
        self.dirty = true;
    }

    /// Whether the host reports the disk as healthy and no write failed or takes longer than `patience`.
    pub fn is_healthy(&self, now: Nanos, patience: Nanos) -> bool {
        let is_slow = |write: &PendingWrite| now - write.started_at > patience;
        self.host_reports_healthy
            && self.write_failed_at.is_none()
            && !self.pending_write.as_ref().is_some_and(is_slow)
    }

    /// Takes over what the host reports of its disk; says whether that is new.
    pub fn set_healthy(&mut self, healthy: bool) -> bool {
        let changed = self.host_reports_healthy != healthy;
        self.host_reports_healthy = healthy;
        if healthy {
            self.write_failed_at = None;
        }
        changed
    }

    /// Keeps the message until everything that is known now is durable; gives it back where it is already.
    pub fn hold_until_durable(&mut self, envelope: Envelope) -> Option<Envelope> {
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

    /// Whether a write is due: one at a time, and after a failure not before `retry_pause` is over.
    pub fn needs_write(&self, now: Nanos, retry_pause: Nanos) -> bool {
        let may_retry = self.write_failed_at.is_none_or(|at| now - at >= retry_pause);
        self.dirty && self.pending_write.is_none() && self.host_reports_healthy && may_retry
    }

    /// Begins to write `state`.
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

    /// The pending write, if it has this id; it is not pending any more.
    pub fn take_pending_write(&mut self, write_id: WriteId) -> Option<PendingWrite> {
        self.pending_write.take_if(|write| write.write_id == write_id)
    }

    /// The write is durable.
    pub fn complete_write(&mut self, write: PendingWrite) -> CompletedWrite {
        self.write_failed_at = None;
        let before = (self.durable_view(), self.durable.state.view);
        self.durable = write.progress;
        let view_changed = before != (self.durable_view(), self.durable.state.view);
        CompletedWrite { view_changed, sends: write.sends }
    }

    /// It is not known what is on disk: everything has to be written again.
    pub fn fail_write(&mut self, mut write: PendingWrite, now: Nanos) {
        self.write_failed_at = Some(now);
        self.dirty = true;
        write.sends.append(&mut self.deferred_sends);
        self.deferred_sends = write.sends;
    }

    /// Continues on the disk of an earlier identity, whose content counts for nothing any more.
    pub fn take_over(&mut self, earlier: &mut Disk) {
        self.last_write_id = earlier.last_write_id;
        self.host_reports_healthy = earlier.host_reports_healthy;
        self.write_failed_at = earlier.write_failed_at;
        // A write of the earlier identity may still be in flight, and vouches for nothing of the new one.
        self.pending_write = earlier.pending_write.take();
        if let Some(write) = &mut self.pending_write {
            write.progress = DurableProgress::default();
            write.sends.clear();
        }
    }
}
