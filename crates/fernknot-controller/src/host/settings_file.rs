//! The settings file, read again when it has changed.

use fernknot::interface::Nanos;
use fernknot_schema::{ProcessSettings, ValidationError};
use std::path::{Path, PathBuf};
use std::time::SystemTime;

/// The file and when it was last modified, as far as is known.
pub struct SettingsFile {
    path: PathBuf,
    modified: Option<SystemTime>,
    next_check: Nanos,
    check_interval: Nanos,
}

fn modified(path: &Path) -> Option<SystemTime> {
    std::fs::metadata(path).and_then(|metadata| metadata.modified()).ok()
}

impl SettingsFile {
    /// The file has just been read; it is to be looked at every `check_interval`.
    pub fn new(path: PathBuf, check_interval: Nanos) -> SettingsFile {
        SettingsFile { modified: modified(&path), path, next_check: check_interval, check_interval }
    }

    /// When to look at it next.
    pub fn next_check(&self) -> Nanos {
        self.next_check
    }

    /// The settings, if the file has been modified since this was last called and can be read.
    pub fn read_if_modified(&mut self, now: Nanos) -> Option<Result<ProcessSettings, Vec<ValidationError>>> {
        self.next_check = now + self.check_interval;
        let modified = modified(&self.path);
        if modified == self.modified {
            return None;
        }
        self.modified = modified;
        let bytes = std::fs::read(&self.path).ok()?;
        Some(ProcessSettings::parse(&bytes))
    }
}
