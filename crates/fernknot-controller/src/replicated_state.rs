//! The state that the controllers replicate, as `fernknot-consensus` stores it: the control state, and the usage of
//! tenants once any was recorded.

use crate::control_state::{ControlState, ControlStateError};
use bitcode::{Decode, Encode};
use fernknot_usage::UsageRecord;

/// First bytes of an encoded state with usage. A state without usage is encoded as the bare [`ControlState`], which
/// begins with the small number of an integer's packing.
const USAGE_TAG: [u8; 8] = *b"\xFFusage\x00\x01";

/// State that the controllers replicate.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ReplicatedState {
    /// Active configuration, and which versions were committed.
    pub control: ControlState,
    /// Usage of tenants; None before any was recorded.
    pub usage: Option<RecordedUsage>,
}

/// Usage of tenants, and the revision of the configuration beside it.
#[derive(Clone, Debug, PartialEq, Eq, Encode, Decode)]
pub struct RecordedUsage {
    /// Windows whose counts are fixed.
    pub record: UsageRecord,
    /// Revision that the state was proposed as.
    pub state_revision: u64,
    /// Revision of the state in which the configuration last changed, if the state has the revision that it was
    /// proposed as.
    pub config_revision: u64,
}

#[derive(Encode, Decode)]
struct StateWithUsage {
    control: ControlState,
    usage: RecordedUsage,
}

impl ReplicatedState {
    /// Decodes a delivered state; empty bytes are the state before the first change.
    ///
    /// # Errors
    /// If the bytes were not encoded by a controller of this build or an earlier one.
    pub fn decode(bytes: &[u8]) -> Result<ReplicatedState, ControlStateError> {
        match bytes.strip_prefix(&USAGE_TAG) {
            None => Ok(ReplicatedState { control: ControlState::decode(bytes)?, usage: None }),
            Some(bytes) => {
                let StateWithUsage { control, usage } = bitcode::decode(bytes)?;
                Ok(ReplicatedState { control, usage: Some(usage) })
            }
        }
    }

    /// Encodes the state, to be proposed.
    pub fn encode(self) -> Vec<u8> {
        let ReplicatedState { control, usage } = self;
        match usage {
            None => control.encode(),
            Some(usage) => {
                let mut bytes = USAGE_TAG.to_vec();
                bytes.extend(bitcode::encode(&StateWithUsage { control, usage }));
                bytes
            }
        }
    }

    /// Revision of the state in which the configuration last changed, of a state delivered as `revision`. A forced view
    /// gives the state a new revision, which then counts for the configuration too: gateways may have one that the
    /// forced view has discarded.
    pub fn config_revision(&self, revision: u64) -> u64 {
        match &self.usage {
            Some(usage) if usage.state_revision == revision => usage.config_revision,
            _ => revision,
        }
    }
}
