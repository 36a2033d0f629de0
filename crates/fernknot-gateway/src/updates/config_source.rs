//! The source whose heartbeats with a lease confirm the configuration, for the log.

use super::sources::Source;
use fernknot::interface::Nanos;
use fernknot_telemetry::component;

/// Source of the configuration that was logged last.
#[derive(Default)]
pub(super) struct ConfigSourceLog {
    logged: Option<Source>,
    last_leased_at: Nanos,
}

impl ConfigSourceLog {
    /// Records a heartbeat with a lease from a source of the configuration. Logs the source when the logged one has
    /// sent none for longer than `timeout`, so that two sources in use at the same time are not logged in turn.
    pub(super) fn record_lease(&mut self, now: Nanos, source: Source, revision: u64, timeout: Nanos) {
        let age = now - self.last_leased_at;
        if self.logged != Some(source) && self.logged.is_some() && age <= timeout {
            return;
        }
        if self.logged != Some(source) || age > timeout {
            let Source { kind, addr } = source;
            let age_ms = if self.logged.is_some() { age.as_millis() } else { 0.0 };
            log::info!(
                target: component::CONNECTIONS,
                "configuration confirmed by {kind:?} {addr}, which announces revision {revision}; unconfirmed for {age_ms:.0} ms before"
            );
        }
        self.logged = Some(source);
        self.last_leased_at = now;
    }
}
