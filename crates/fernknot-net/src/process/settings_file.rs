//! Settings file of a process, which may change while the process runs.

use fernknot_schema::ProcessSettings;
use fernknot_telemetry::component;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;

use super::command_line::BAD_USAGE_EXIT_CODE;

/// Environment variable with the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "FERNKNOT_CONFIG";

/// Settings file of a process.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// Modification time of the file at the last check.
    modified_at: Option<SystemTime>,
}

impl SettingsFile {
    /// Returns the file whose path is in [`SETTINGS_VARIABLE`].
    pub fn from_env() -> SettingsFile {
        let path = PathBuf::from(std::env::var_os(SETTINGS_VARIABLE).unwrap_or_default());
        let mut file = SettingsFile { path, modified_at: None };
        file.take_modified();
        file
    }

    /// Reads the settings at the start of the process. `check` validates the requirements of the program beyond the
    /// schema.
    ///
    /// # Errors
    /// All faults of the file, as one message each that names the key.
    pub fn load(
        &self,
        check: impl FnOnce(&ProcessSettings) -> Result<(), Vec<String>>,
    ) -> Result<ProcessSettings, Vec<String>> {
        let bytes = std::fs::read(&self.path)
            .map_err(|error| vec![format!("{SETTINGS_VARIABLE}: {}: {error}", self.path.display())])?;
        let settings = ProcessSettings::parse(&bytes)
            .map_err(|errors| errors.iter().map(ToString::to_string).collect::<Vec<String>>())?;
        check(&settings)?;
        Ok(settings)
    }

    /// Reads the settings like [`SettingsFile::load`], and prints all faults to standard error.
    ///
    /// # Errors
    /// The exit code of the process.
    pub fn load_or_report(
        &self,
        check: impl FnOnce(&ProcessSettings) -> Result<(), Vec<String>>,
    ) -> Result<ProcessSettings, ExitCode> {
        self.load(check).map_err(|faults| {
            for fault in faults {
                eprintln!("settings: {fault}");
            }
            ExitCode::from(BAD_USAGE_EXIT_CODE)
        })
    }

    /// Returns whether the file was modified since the last call, or since the start of the process.
    pub fn take_modified(&mut self) -> bool {
        let modified_at = std::fs::metadata(&self.path).and_then(|metadata| metadata.modified()).ok();
        std::mem::replace(&mut self.modified_at, modified_at) != modified_at
    }

    /// Reads the settings again, without the check of the program. Returns `None` if the file cannot be read, or if it
    /// has faults; these are logged.
    pub fn reload(&self) -> Option<ProcessSettings> {
        let bytes = std::fs::read(&self.path).ok()?;
        match ProcessSettings::parse(&bytes) {
            Ok(settings) => Some(settings),
            Err(errors) => {
                for error in errors {
                    log::warn!(
                        target: component::SETTINGS,
                        "cannot use the changed settings file: {error}; keeping the current settings"
                    );
                }
                None
            }
        }
    }
}
