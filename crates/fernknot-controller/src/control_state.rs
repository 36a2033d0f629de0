//! The control state that the controllers agree on: the active routing configuration, and which versions were
//! committed last.

use bitcode::{Decode, Encode};
use thiserror::Error;

/// Maximum number of committed versions in the history, 24 bytes each: two hours at 12,000 changes a day, eight
/// minutes at two a second. Safety does not depend on the number: changes older than the history are never rejected
/// (see [`ControlState::newest_forgotten_epoch`]).
pub(crate) const MAX_HISTORY_LENGTH: usize = 1024;

/// A committed version of the configuration.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CommittedVersion {
    /// Epoch of the version, chosen by the operator.
    pub epoch: u64,
    /// Epoch that this version replaced; 0 for the first version.
    pub base_epoch: u64,
    /// Hash of the parsed configuration, independent of its formatting.
    pub digest: u64,
}

/// State that the controllers agree on, encoded as the state of `fernknot-consensus`.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ControlState {
    /// Active epoch; 0 before the first configuration.
    pub epoch: u64,
    /// Active configuration as its operator sent it; empty before the first.
    pub body: Vec<u8>,
    /// Most recently committed versions, oldest first.
    pub history: Vec<CommittedVersion>,
}

/// Error for bytes that cannot be decoded as a control state.
#[derive(Debug, Error)]
#[error("cannot decode the control state: {source}")]
pub struct ControlStateError {
    #[from]
    source: bitcode::Error,
}

impl ControlState {
    /// Decodes a state without usage; empty bytes are the state before the first configuration.
    ///
    /// # Errors
    /// If the bytes were not encoded by [`encode`](Self::encode).
    pub fn decode(state: &[u8]) -> Result<ControlState, ControlStateError> {
        if state.is_empty() {
            return Ok(ControlState::default());
        }
        Ok(bitcode::decode(state)?)
    }

    /// Encodes the state.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// Whether the history lists this configuration as committed with this epoch, active or superseded.
    pub fn has_committed(&self, epoch: u64, digest: u64) -> bool {
        self.history.iter().any(|version| version.epoch == epoch && version.digest == digest)
    }

    /// Newest committed epoch that is no longer in the history; 0 if there is none. A call with an epoch up to it may
    /// be a retry of a committed change and must not be rejected. Above it, an epoch that is not in the history was
    /// never committed.
    pub fn newest_forgotten_epoch(&self) -> u64 {
        self.history.first().map_or(0, |oldest| oldest.base_epoch)
    }

    /// Returns the state after a configuration has been committed.
    pub fn with_committed(&self, version: CommittedVersion, body: Vec<u8>) -> ControlState {
        self.with_bounded_history(MAX_HISTORY_LENGTH, version, body)
    }

    /// Like [`with_committed`](Self::with_committed), with at most `max_versions` in the history.
    pub(crate) fn with_bounded_history(
        &self,
        max_versions: usize,
        version: CommittedVersion,
        body: Vec<u8>,
    ) -> ControlState {
        let first_kept = (self.history.len() + 1).saturating_sub(max_versions);
        let mut history = self.history[first_kept..].to_vec();
        history.push(version);
        ControlState { epoch: version.epoch, body, history }
    }
}
