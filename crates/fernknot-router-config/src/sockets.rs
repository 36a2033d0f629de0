//! Settings that only a router with sockets needs.

use crate::error::{ConfigError, ConfigFault};
use crate::phases::TwoPhaseSettings;
use crate::settings::{ClassEffect, RawSettings};
use fernknot::interface::Nanos;

/// Settings that only a router with sockets needs.
#[derive(Clone, Debug)]
pub struct SocketSettings {
    /// Name of each use case in request paths, and whether it requires an idempotency key, in the order of the decision
    /// module's use cases.
    pub use_cases: Vec<(String, bool)>,
    /// Number of shards; all shard ids are below it.
    pub shards: u32,
    /// Maximum number of concurrent calls on one connection to a node. A call is one message with parts of queries.
    pub max_calls_per_connection: usize,
    /// Maximum number of parts in one call to a node.
    pub max_parts_per_call: usize,
    /// Idle time after which a node closes a connection.
    pub node_idle_timeout: Nanos,
    /// Time-out of opening a connection to a node.
    pub connect_timeout: Nanos,
    /// Time during which calls are still sent to a node that drains (accepts no new work and will stop) or was removed
    /// from the list.
    pub drain_grace: Nanos,
    /// Longest of all use cases' times from a query's first try until its client gives up.
    pub longest_deadline: Nanos,
    /// Two-phase settings of each use case; `None` for a use case without two phases.
    pub phases: Vec<Option<TwoPhaseSettings>>,
    /// Index of this router among all routers.
    pub position: usize,
    /// Names of the zones in the node list from discovery; a zone's index here is its id.
    pub zones: Vec<String>,
}

impl RawSettings {
    /// Returns the settings of the sockets. The settings object may lack their keys where only the decision module
    /// runs.
    ///
    /// # Errors
    /// A key that only sockets need is missing or out of its bounds. The reported key is relative to the settings
    /// object.
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

    /// Checks that the names of all use cases are present and unique, since request paths contain them.
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
