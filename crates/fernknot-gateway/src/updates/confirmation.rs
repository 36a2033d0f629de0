//! Proof that the configuration in force is the newest one.

use fernknot::interface::Nanos;

/// What the sources of updates have confirmed about the configuration.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Confirmation {
    /// Newest revision that any source has announced; 0 for none.
    pub(crate) announced_revision: u64,
    /// Time until which the announced revision includes everything that was acknowledged more than `apply_ms` ago.
    pub(crate) until: Nanos,
}

impl Confirmation {
    /// Whether a configuration of this revision lacks nothing that was acknowledged more than `apply_ms` ago.
    pub(crate) fn covers(&self, now: Nanos, revision: u64) -> bool {
        revision >= self.announced_revision && now <= self.until
    }
}
