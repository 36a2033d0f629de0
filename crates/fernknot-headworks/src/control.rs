//! The control state: what the registrars agree on.

use bitcode::{Decode, Encode};
use fernknot_intake::Plan;
use std::sync::Arc;
use thiserror::Error;

/// Versions that are remembered as taken: a call may be repeated for as long as its operator waits, and the last
/// ones that were taken in that time are far fewer.
const REMEMBERED: usize = 64;

/// A version that was taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Encode, Decode)]
pub struct Taken {
    pub epoch: u64,
    pub base: u64,
    /// A hash of the configuration by its value.
    pub digest: u64,
}

/// What the registrars agree on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Encode, Decode)]
pub struct Control {
    /// The version in force; 0 where there is none yet.
    pub epoch: u64,
    /// The configuration just as its operator sent it.
    pub body: Vec<u8>,
    /// The last versions taken, oldest first.
    pub taken: Vec<Taken>,
}

/// A state of the order that is no control state.
#[derive(Debug, Error)]
#[error("read the control state: {why}")]
pub struct BadControl {
    pub why: String,
}

impl Control {
    /// Reads a state of the one order; the empty one is that before the first configuration.
    ///
    /// # Errors
    /// Bytes that no registrar of this build wrote.
    pub fn read(state: &[u8]) -> Result<Control, BadControl> {
        if state.is_empty() {
            return Ok(Control::default());
        }
        bitcode::decode(state).map_err(|why| BadControl { why: why.to_string() })
    }

    /// The state as it goes into the order.
    pub fn write(&self) -> Vec<u8> {
        bitcode::encode(self)
    }

    /// True where this very configuration was taken under this number, now in force or not.
    pub fn has_taken(&self, epoch: u64, digest: u64) -> bool {
        self.taken.iter().any(|taken| taken.epoch == epoch && taken.digest == digest)
    }

    /// The state that follows when a configuration is taken.
    pub fn with(&self, taken: Taken, body: Vec<u8>) -> Control {
        let from = (self.taken.len() + 1).saturating_sub(REMEMBERED);
        let mut history = self.taken[from..].to_vec();
        history.push(taken);
        Control { epoch: taken.epoch, body, taken: history }
    }
}

/// The configuration in force, laid out for use.
#[derive(Clone, Debug)]
pub struct InForce {
    pub order: u64,
    pub control: Control,
    /// The body again, to be handed out without a copy each.
    pub body: Arc<[u8]>,
    /// None before the first configuration.
    pub plan: Option<Plan>,
}
