//! The settings file of a process, which may change while it runs.

use fernknot_schema::ProcessSettings;
use fernknot_telemetry::part;
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::SystemTime;

use super::command_line::BAD_USAGE_EXIT_CODE;

/// The environment variable that names the path of the settings file.
pub const SETTINGS_VARIABLE: &str = "FERNKNOT_CONFIG";

/// The settings file.
#[derive(Clone, Debug)]
pub struct SettingsFile {
    path: PathBuf,
    /// When the file was modified, as of the last look.
    modified_at: Option<SystemTime>,
}

impl SettingsFile {
    /// The file that [`SETTINGS_VARIABLE`] names.
    pub fn from_env() -> SettingsFile {
        let path = PathBuf::from(std::env::var_os(SETTINGS_VARIABLE).unwrap_or_default());
        let mut file = SettingsFile { path, modified_at: None };
        file.take_modified();
        file
    }

    /// Reads the settings at the start of the process. `check` adds what the program needs beyond the schema.
    ///
    /// # Errors
    /// Every fault of the file, by its place, as a sentence for the operator.
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

    /// The same for `main`: the faults are printed to standard error.
    ///
    /// # Errors
    /// The code that the process is to end with.
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

    /// Whether the file was modified since the last call, or since the start of the process.
    pub fn take_modified(&mut self) -> bool {
        let modified_at = std::fs::metadata(&self.path).and_then(|metadata| metadata.modified()).ok();
        std::mem::replace(&mut self.modified_at, modified_at) != modified_at
    }

    /// Reads the settings again. Faults are logged; `None` then, or where there is no file.
    pub fn reload(&self) -> Option<ProcessSettings> {
        let bytes = std::fs::read(&self.path).ok()?;
        match ProcessSettings::parse(&bytes) {
            Ok(settings) => Some(settings),
            Err(errors) => {
                for error in errors {
                    log::warn!(target: part::SETTINGS, "the changed file is not taken: {error}");
                }
                None
            }
        }
    }
}
