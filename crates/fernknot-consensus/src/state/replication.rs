//! Changes that this replica has proposed, committed and delivered.

use std::collections::VecDeque;
use std::sync::Arc;

use fernknot::interface::Nanos;

use crate::types::{Revision, ViewNumber};

/// A change that the leader has accepted and not yet sent.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct QueuedChange {
    pub change_id: u64,
    pub state: Arc<[u8]>,
}

/// The leader's change in flight, which is not yet on all members' disks.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct PendingChange {
    pub change_id: u64,
    pub revision: Revision,
    pub started_at: Nanos,
    pub retry_at: Nanos,
    pub backoff: Nanos,
}

/// A change that was in flight when its view ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct UnresolvedChange {
    pub change_id: u64,
    /// The view in which it was sent.
    pub view: ViewNumber,
    pub revision: Revision,
}

/// A state that was delivered to the host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct DeliveredState {
    pub revision: Revision,
    pub state: Arc<[u8]>,
}

/// Changes by stage: queued at the leader, pending on the members' disks, committed, delivered to the host, or
/// unresolved because their view ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Replication {
    /// The newest revision known to be committed.
    pub commit_revision: Revision,
    /// Newest state that this process has delivered to the host; `None` before the first.
    pub delivered: Option<DeliveredState>,
    pub pending: Option<PendingChange>,
    pub queued: VecDeque<QueuedChange>,
    pub unresolved: Vec<UnresolvedChange>,
}

impl Replication {
    pub fn new(commit_revision: Revision) -> Replication {
        Replication {
            commit_revision,
            delivered: None,
            pending: None,
            queued: VecDeque::new(),
            unresolved: Vec::new(),
        }
    }

    /// Records that everything up to this revision is committed.
    pub fn commit_through(&mut self, revision: Revision) {
        self.commit_revision = self.commit_revision.max(revision);
    }

    /// Returns the newest revision that was delivered.
    pub fn delivered_revision(&self) -> Option<Revision> {
        self.delivered.as_ref().map(|delivered| delivered.revision)
    }
}
