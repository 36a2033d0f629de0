//! The state that was delivered last, with its configuration parsed, and the states that may follow it.

use crate::control_state::{CommittedVersion, ControlState, ControlStateError};
use crate::replicated_state::{RecordedUsage, ReplicatedState};
use fernknot_consensus::Revision;
use fernknot_schema::{DigestKey, SystemConfig};
use fernknot_usage::UsageRecord;
use std::sync::Arc;
use thiserror::Error;

/// Reason why a delivered state cannot be activated.
#[derive(Debug, Error)]
pub enum ActivationError {
    /// The bytes cannot be decoded as a control state.
    #[error(transparent)]
    State(#[from] ControlStateError),
    /// The configuration of this epoch is invalid; the first error is given.
    #[error("cannot parse the configuration of version {epoch}: {reason}")]
    Config { epoch: u64, reason: String },
}

/// State that was delivered last, with its configuration parsed.
#[derive(Clone, Debug)]
pub struct ActiveConfig {
    /// Revision of the state, which the next proposal builds on; 0 before the first one is delivered.
    pub revision: u64,
    /// Revision of the state in which the configuration last changed, by which gateways know it. A change of the usage
    /// alone leaves it as it is.
    pub config_revision: u64,
    /// Control state as the consensus member delivered it; the default before that.
    pub state: ControlState,
    /// Usage of tenants; None before any was recorded.
    pub usage: Option<UsageRecord>,
    /// Shared copy of the body, so that replies need no copy per caller.
    pub body: Arc<[u8]>,
    /// Parsed configuration; None before the first one.
    pub config: Option<SystemConfig>,
}

impl ActiveConfig {
    /// Returns the state before anything is delivered.
    pub fn empty() -> ActiveConfig {
        ActiveConfig {
            revision: 0,
            config_revision: 0,
            state: ControlState::default(),
            usage: None,
            body: Arc::from([]),
            config: None,
        }
    }

    /// Decodes a state that is delivered after this one, and parses its configuration if that has changed.
    pub fn successor(
        &self,
        revision: Revision,
        state: &[u8],
        digest_key: &DigestKey,
    ) -> Result<ActiveConfig, ActivationError> {
        let replicated = ReplicatedState::decode(state)?;
        let config_revision = replicated.config_revision(revision.0);
        let ReplicatedState { control: state, usage } = replicated;
        let (body, config) = if state.body == self.state.body {
            (self.body.clone(), self.config.clone())
        } else {
            (Arc::from(&state.body[..]), parse_config(&state, digest_key)?)
        };
        let usage = usage.map(|usage| usage.record);
        Ok(ActiveConfig { revision: revision.0, config_revision, state, usage, body, config })
    }

    /// Number of routes in the configuration.
    pub fn route_count(&self) -> usize {
        self.config.as_ref().map_or(0, |config| config.routing.routes.len())
    }

    /// Returns the encoded state after a configuration has been committed, with at most `max_history` versions in the
    /// history.
    pub fn with_config(&self, max_history: usize, version: CommittedVersion, body: Vec<u8>) -> Vec<u8> {
        let control = self.state.with_bounded_history(max_history, version, body);
        let next = self.next_revision();
        let usage = self.usage.clone();
        let usage = usage.map(|record| RecordedUsage { record, state_revision: next, config_revision: next });
        ReplicatedState { control, usage }.encode()
    }

    /// Returns the encoded state after a change of the usage alone.
    pub fn with_usage(&self, record: UsageRecord) -> Vec<u8> {
        let usage = RecordedUsage {
            record,
            state_revision: self.next_revision(),
            config_revision: self.config_revision,
        };
        ReplicatedState { control: self.state.clone(), usage: Some(usage) }.encode()
    }

    /// Revision that a state proposed now is assigned: the leader accepts only the direct successor of the last one.
    fn next_revision(&self) -> u64 {
        self.revision.saturating_add(1)
    }
}

fn parse_config(
    state: &ControlState,
    digest_key: &DigestKey,
) -> Result<Option<SystemConfig>, ActivationError> {
    if state.body.is_empty() {
        return Ok(None);
    }
    let config = SystemConfig::parse(&state.body, digest_key).map_err(|errors| {
        let reason = errors.first().map(ToString::to_string).unwrap_or_default();
        ActivationError::Config { epoch: state.epoch, reason }
    })?;
    Ok(Some(config))
}
