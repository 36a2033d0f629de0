//! The control state: what the controllers agree on.

use bitcode::{Decode, Encode};
use fernknot_schema::RoutingConfig;
use std::sync::Arc;
use thiserror::Error;

/// Versions that are remembered as committed, 24 bytes each: two hours at 12,000 changes a day, eight minutes at two a
/// second. Safety doesn't rest on it: what lies beyond them is never rejected (see
/// [`ControlState::newest_forgotten_epoch`]).
const MAX_REMEMBERED_VERSIONS: usize = 1024;

/// A version that was committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct CommittedVersion {
    /// The operator's number of the version.
    pub epoch: u64,
    /// The epoch that was in force before.
    pub base_epoch: u64,
    /// A hash of the configuration by its value.
    pub digest: u64,
}

/// What the controllers agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct ControlState {
    /// The epoch in force; 0 where there is none yet.
    pub epoch: u64,
    /// The configuration just as its operator sent it.
    pub body: Vec<u8>,
    /// The last versions committed, oldest first.
    pub history: Vec<CommittedVersion>,
}

/// Bytes that are no control state.
#[derive(Debug, Error)]
#[error("read the control state: {source}")]
pub struct ControlStateError {
    #[from]
    source: bitcode::Error,
}

/// Why a delivered state can't be put in force.
#[derive(Debug, Error)]
pub enum ActivationError {
    /// The bytes are no control state.
    #[error(transparent)]
    State(#[from] ControlStateError),
    /// The configuration of this epoch is not valid, for the first reason that was found.
    #[error("read version {epoch}: {reason}")]
    Config { epoch: u64, reason: String },
}

impl ControlState {
    /// Decodes a delivered state; the empty one is that before the first configuration.
    ///
    /// # Errors
    /// Bytes that no controller of this build wrote.
    pub fn decode(state: &[u8]) -> Result<ControlState, ControlStateError> {
        if state.is_empty() {
            return Ok(ControlState::default());
        }
        Ok(bitcode::decode(state)?)
    }

    /// The state as it is proposed.
    pub fn encode(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// Whether this very configuration was committed under this epoch, whether it is in force now or not.
    pub fn has_committed(&self, epoch: u64, digest: u64) -> bool {
        self.history.iter().any(|version| version.epoch == epoch && version.digest == digest)
    }

    /// The newest epoch that was committed and is no longer remembered; 0 where there is none. A call with an epoch up
    /// to it may be a repeat of a committed change, so it is not rejected. Above it, what is not remembered was never
    /// committed.
    pub fn newest_forgotten_epoch(&self) -> u64 {
        self.history.first().map_or(0, |oldest| oldest.base_epoch)
    }

    /// The state that follows when a configuration is committed.
    pub fn with_committed(&self, version: CommittedVersion, body: Vec<u8>) -> ControlState {
        self.with_bounded_history(MAX_REMEMBERED_VERSIONS, version, body)
    }

    /// The same, with so many versions remembered.
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

/// The configuration in force, laid out for use.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// The revision of the control state; 0 before the first one is delivered.
    pub revision: u64,
    /// The control state as it was delivered.
    pub state: ControlState,
    /// The body again, to be sent without a copy for each caller.
    pub body: Arc<[u8]>,
    /// None before the first configuration.
    pub config: Option<RoutingConfig>,
}

impl ActiveConfig {
    /// Nothing is known yet.
    pub fn empty() -> ActiveConfig {
        ActiveConfig { revision: 0, state: ControlState::default(), body: Arc::from([]), config: None }
    }

    /// Lays out a delivered state.
    pub fn parse(revision: u64, state: &[u8]) -> Result<ActiveConfig, ActivationError> {
        let state = ControlState::decode(state)?;
        let config = match state.body.is_empty() {
            true => None,
            false => Some(parse_config(&state)?),
        };
        let body = Arc::from(&state.body[..]);
        Ok(ActiveConfig { revision, state, body, config })
    }

    /// The number of routes of the configuration.
    pub fn route_count(&self) -> usize {
        self.config.as_ref().map_or(0, |config| config.routes.len())
    }
}

fn parse_config(state: &ControlState) -> Result<RoutingConfig, ActivationError> {
    RoutingConfig::parse(&state.body).map_err(|errors| {
        let reason = errors.first().map(ToString::to_string).unwrap_or_default();
        ActivationError::Config { epoch: state.epoch, reason }
    })
}
