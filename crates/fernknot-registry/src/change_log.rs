//! The order in which incarnations last changed.

use std::collections::BTreeMap;

/// Numbers the changes. Only the last change of each incarnation is kept.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    id_by_version: BTreeMap<u64, String>,
    version: u64,
    /// Up to this version, some changes were of incarnations that are no longer remembered.
    forgotten_version: u64,
}

impl ChangeLog {
    /// The version of the newest change; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a change of an incarnation whose last change had the version `previous` (0 for none). Returns the
    /// version of the new one.
    pub fn record(&mut self, previous: u64, id: &str) -> u64 {
        self.id_by_version.remove(&previous);
        self.version += 1;
        self.id_by_version.insert(self.version, id.to_string());
        self.version
    }

    /// Forgets an incarnation by the version of its last change.
    pub fn forget(&mut self, version: u64) {
        self.forgotten_version = self.forgotten_version.max(version);
        self.id_by_version.remove(&version);
    }

    /// The incarnations that changed after a version, oldest change first. `None` where some of these are no longer
    /// remembered, or the version is yet to come.
    pub fn since(&self, version: u64) -> Option<impl Iterator<Item = &str>> {
        if version < self.forgotten_version || version > self.version {
            return None;
        }
        Some(self.id_by_version.range(version + 1..).map(|(_, id)| id.as_str()))
    }

    /// All remembered incarnations, oldest change first.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.id_by_version.values().map(String::as_str)
    }
}
