//! What a router on sockets needs of the settings, beside the decision module.

use crate::error::{ConfigError, ConfigFault};
use crate::phases::TwoPhaseSettings;
use crate::settings::{ClassEffect, RawSettings};
use fernknot::interface::Nanos;

/// What a router on sockets needs of the settings, beside the decision module.
#[derive(Clone, Debug)]
pub struct SocketSettings {
    /// The use cases' names as paths have them, and whether each needs an idempotency key, in the order of the
    /// decision module's use cases.
    pub use_cases: Vec<(String, bool)>,
    /// The number of shards; their ids are below it.
    pub shards: u32,
    /// The most calls that one connection to a node carries at once.
    pub max_calls_per_connection: usize,
    /// The most parts that one call holds.
    pub max_parts_per_call: usize,
    /// A node closes a connection that has been idle for so long.
    pub node_idle_timeout: Nanos,
    /// The time-out of a connection attempt.
    pub connect_timeout: Nanos,
    /// For how long calls are still sent to a node that drains or has left the list.
    pub drain_grace: Nanos,
    /// The longest deadline of any use case.
    pub longest_deadline: Nanos,
    /// For each use case, how it is asked in two phases, if it may be.
    pub phases: Vec<Option<TwoPhaseSettings>>,
    /// The index of this router among all routers.
    pub position: usize,
    /// The zones as the endpoint list names them; their index is their id.
    pub zones: Vec<String>,
}

impl RawSettings {
    /// What a router on sockets needs; the decision module alone can do without.
    ///
    /// # Errors
    /// A key that only sockets need is missing or out of its bounds. The key is relative to the settings object.
    pub fn socket_settings(&self) -> Result<SocketSettings, ConfigError> {
        self.check_class_names()?;
        let is_keyed = |effect| matches!(effect, ClassEffect::Keyed);
        let use_cases = self.classes.iter().map(|class| (class.name.clone(), is_keyed(class.effect)));
        let longest_deadline_ms = self.classes.iter().map(|class| class.deadline).fold(0.0, f64::max);
        let shards = self.family_info.slabs.map(|slabs| slabs as usize);
        Ok(SocketSettings {
            use_cases: use_cases.collect(),
            shards: count("familyInfo.slabs", shards)? as u32,
            max_calls_per_connection: count("allowed.maxStreams", self.allowed.max_streams)?,
            max_parts_per_call: count("familyInfo.bundleMax", self.family_info.bundle_max)?,
            node_idle_timeout: duration("allowed.connIdle", self.allowed.conn_idle)?,
            connect_timeout: duration("allowed.connectTimeout", self.allowed.connect_timeout)?,
            drain_grace: duration("rules.drainGrace", self.rules.drain_grace)?,
            longest_deadline: Nanos::from_millis(longest_deadline_ms),
            phases: self.two_phase_settings()?,
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
