//! The source whose heartbeats with a lease confirm the configuration, for the log.

use super::sources::Source;
use fernknot::interface::Nanos;
use fernknot_telemetry::component;

/// Length of a gap between heartbeats with a lease that is logged, in time-outs.
const LOGGED_GAP_TIMEOUTS: f64 = 2.0;

/// Source of the configuration that was logged last.
#[derive(Default)]
pub(super) struct ConfigSourceLog {
    logged: Option<Source>,
    /// Time of the last heartbeat with a lease from the logged source.
    logged_leased_at: Nanos,
    /// Time of the last heartbeat with a lease from any source.
    last_leased_at: Nanos,
}

impl ConfigSourceLog {
    /// Records a heartbeat with a lease from a source of the configuration. Logs the source after a gap, and when the
    /// logged one has sent none for longer than `timeout`, so that two sources in use at the same time are not logged in
    /// turn.
    pub(super) fn record_lease(&mut self, now: Nanos, source: Source, revision: u64, timeout: Nanos) {
        let gap = now - std::mem::replace(&mut self.last_leased_at, now);
        let is_source_new = self.logged != Some(source);
        let is_logged_silent = self.logged.is_none() || now - self.logged_leased_at > timeout;
        let is_gap_long = self.logged.is_some() && gap > timeout.times(LOGGED_GAP_TIMEOUTS);
        if is_gap_long || (is_source_new && is_logged_silent) {
            let Source { kind, addr } = source;
            let gap_ms = if self.logged.is_some() { gap.as_millis() } else { 0.0 };
            log::info!(
                target: component::CONNECTIONS,
                "configuration confirmed by {kind:?} {addr}, which announces revision {revision}; unconfirmed for {gap_ms:.0} ms before"
            );
            self.logged = Some(source);
        }
        if self.logged == Some(source) {
            self.logged_leased_at = now;
        }
    }
}
