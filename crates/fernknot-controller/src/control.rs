//! The control state: what the controllers agree on.

use bitcode::{Decode, Encode};
use fernknot_schema::RoutingConfig;
use std::sync::Arc;
use thiserror::Error;

/// Versions that are remembered as taken, 24 bytes each: two hours at 12,000 changes a day, eight minutes at two a
/// second. Safety doesn't rest on it: what lies past them is never refused (see `horizon`).
const MAX_REMEMBERED_VERSIONS: usize = 1024;

/// A version that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CommittedVersion {
    pub epoch: u64,
    pub base_epoch: u64,
    /// A hash of the configuration by its value.
    pub digest: u64,
}

/// What the controllers agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ControlState {
    /// The version in force; 0 where there is none yet.
    pub epoch: u64,
    /// The configuration just as its operator sent it.
    pub body: Vec<u8>,
    /// The last versions taken, oldest first.
    pub history: Vec<CommittedVersion>,
}

/// A state of the order that is no control state.
#[derive(Debug, Error)]
#[error("read the control state: {why}")]
pub struct ControlStateError {
    pub why: String,
}

impl ControlState {
    /// Reads a state of the one order; the empty one is that before the first configuration.
    ///
    /// # Errors
    /// Bytes that no controller of this build wrote.
    pub fn decode(state: &[u8]) -> Result<ControlState, ControlStateError> {
        if state.is_empty() {
            return Ok(ControlState::default());
        }
        bitcode::decode(state).map_err(|why| ControlStateError { why: why.to_string() })
    }

    /// The state as it goes into the order.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// True where this very configuration was taken under this number, now in force or not.
    pub fn has_committed(&self, epoch: u64, digest: u64) -> bool {
        self.history.iter().any(|taken| taken.epoch == epoch && taken.digest == digest)
    }

    /// The newest version that was taken and is forgotten; 0 where none is. A call with a number up to it may be a
    /// repeat of something taken, so it is not refused. Above it, what is not remembered was never taken.
    pub fn newest_forgotten_epoch(&self) -> u64 {
        self.history.first().map_or(0, |oldest| oldest.base_epoch)
    }

    /// The state that follows when a configuration is taken.
    pub fn with_committed(&self, taken: CommittedVersion, body: Vec<u8>) -> ControlState {
        self.with_bounded_history(MAX_REMEMBERED_VERSIONS, taken, body)
    }

    /// The same, with so many versions remembered.
    pub(crate) fn with_bounded_history(
        &self,
        most: usize,
        taken: CommittedVersion,
        body: Vec<u8>,
    ) -> ControlState {
        let from = (self.history.len() + 1).saturating_sub(most);
        let mut history = self.history[from..].to_vec();
        history.push(taken);
        ControlState { epoch: taken.epoch, body, history: history }
    }
}

/// The configuration in force, laid out for use.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    pub revision: u64,
    pub state: ControlState,
    /// The body again, to be handed out without a copy each.
    pub body: Arc<[u8]>,
    /// None before the first configuration.
    pub config: Option<RoutingConfig>,
}

impl ActiveConfig {
    /// Nothing is known yet.
    pub fn empty() -> ActiveConfig {
        ActiveConfig { revision: 0, state: ControlState::default(), body: Arc::from([]), config: None }
    }
}
