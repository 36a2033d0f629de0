//! What a router on sockets needs of the settings, beside the decision module.

use crate::error::{ConfigError, ConfigFault};
use crate::phases::PhaseFacts;
use crate::settings::{ClassEffect, Facts};
use fernknot::interface::Nanos;

/// What a router on sockets needs of the settings, beside the decision module.
#[derive(Clone, Debug)]
pub struct SocketFacts {
    /// The use cases' names as paths have them, and whether each needs an idempotency key, in the order of the
    /// decision module's use cases.
    pub use_cases: Vec<(String, bool)>,
    /// The number of shards; their ids are below it.
    pub shards: u32,
    /// The most calls that one connection to a node carries at once.
    pub streams: usize,
    /// The most parts that one call holds.
    pub batch: usize,
    /// A node closes a connection that has been idle for so long.
    pub idle: Nanos,
    /// The time-out of a connection attempt.
    pub connect_within: Nanos,
    /// For how long calls are still sent to a node that drains or has left the list.
    pub drain_grace: Nanos,
    /// The longest deadline of any use case.
    pub longest_wait: Nanos,
    /// For each use case, how it is asked in two phases, if it may be.
    pub phases: Vec<Option<PhaseFacts>>,
    /// The index of this router among all routers.
    pub position: usize,
    /// The zones as the endpoint list names them; their index is their id.
    pub zones: Vec<String>,
}

impl Facts {
    /// What a router on sockets needs; the decision module alone can do without.
    ///
    /// # Errors
    /// A key that only sockets need is missing or out of its bounds. The key is relative to the settings object.
    pub fn sockets(&self) -> Result<SocketFacts, ConfigError> {
        self.check_class_names()?;
        let is_keyed = |effect| matches!(effect, ClassEffect::Keyed);
        let use_cases = self.classes.iter().map(|class| (class.name.clone(), is_keyed(class.effect)));
        let longest_deadline_ms = self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let shards = self.family_info.slabs.map(|slabs| slabs as usize);
        Ok(SocketFacts {
            use_cases: use_cases.collect(),
            shards: count("familyInfo.slabs", shards)? as u32,
            streams: count("allowed.maxStreams", self.allowed.max_streams)?,
            batch: count("familyInfo.bundleMax", self.family_info.bundle_max)?,
            idle: duration("allowed.connIdle", self.allowed.conn_idle)?,
            connect_within: duration("allowed.connectTimeout", self.allowed.connect_timeout)?,
            drain_grace: duration("rules.drainGrace", self.rules.drain_grace)?,
            longest_wait: Nanos::from_millis(longest_deadline_ms),
            phases: self.phases()?,
            position: self.position.ok_or_else(|| ConfigError::new("position", ConfigFault::Missing))?,
            zones: self.zones.clone(),
        })
    }

    /// Names are needed as parts of paths, so each must be there and unique.
    fn check_class_names(&self) -> Result<(), ConfigError> {
        for (index, class) in self.classes.iter().enumerate() {
            let is_duplicate = self.classes[..index].iter().any(|other| other.name == class.name);
            if class.name.is_empty() || is_duplicate {
                let key = format!("classes[{index}].name");
                return Err(ConfigError::new(key, ConfigFault::MissingOrDuplicateName));
            }
        }
        Ok(())
    }
}

fn count(key: &str, value: Option<usize>) -> Result<usize, ConfigError> {
    match value {
        Some(0) => Err(ConfigError::new(key, ConfigFault::Zero)),
        Some(value) => Ok(value),
        None => Err(ConfigError::new(key, ConfigFault::Missing)),
    }
}

fn duration(key: &str, millis: Option<f64>) -> Result<Nanos, ConfigError> {
    match millis {
        Some(millis) if millis > 0.0 => Ok(Nanos::from_millis(millis)),
        Some(millis) => Err(ConfigError::new(key, ConfigFault::InvalidDuration(millis))),
        None => Err(ConfigError::new(key, ConfigFault::Missing)),
    }
}
