//! Order in which incarnations last changed.

use std::collections::BTreeMap;

/// Log that numbers changes by version, and keeps only the last change of each incarnation.
#[derive(Clone, Debug, Default)]
pub(crate) struct ChangeLog {
    id_by_version: BTreeMap<u64, String>,
    version: u64,
    /// Newest version of a change whose incarnation is no longer kept.
    newest_removed_version: u64,
}

impl ChangeLog {
    /// Version of the newest change; 0 before the first.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Records a change of an incarnation whose last change had the version `previous` (0 for none). Returns the
    /// version of the new change.
    pub fn record(&mut self, previous: u64, id: &str) -> u64 {
        self.id_by_version.remove(&previous);
        self.version += 1;
        self.id_by_version.insert(self.version, id.to_string());
        self.version
    }

    /// Removes the incarnation whose last change has this version; [`Self::since`] returns `None` from then on for
    /// older versions.
    pub fn remove(&mut self, version: u64) {
        self.newest_removed_version = self.newest_removed_version.max(version);
        self.id_by_version.remove(&version);
    }

    /// Returns the ids of the incarnations that changed after a version, oldest change first. `None` if some of them
    /// are no longer kept, or the version is newer than the log.
    pub fn since(&self, version: u64) -> Option<impl Iterator<Item = &str>> {
        if version < self.newest_removed_version || version > self.version {
            return None;
        }
        Some(self.id_by_version.range(version + 1..).map(|(_, id)| id.as_str()))
    }

    /// Ids of all incarnations in the log, oldest change first.
    pub fn all(&self) -> impl Iterator<Item = &str> {
        self.id_by_version.values().map(String::as_str)
    }
}
