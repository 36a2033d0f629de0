//! What the system's server processes share: command line, settings file, log and clock.

mod clock;
mod command_line;
mod error;
mod settings_file;

pub use clock::Clock;
pub use command_line::{BAD_USAGE_EXIT_CODE, Command, Program};
pub use error::ProcessError;
pub use settings_file::{SETTINGS_VARIABLE, SettingsFile};

use fernknot_telemetry::LevelFilter;

/// The environment variable that names the level of the log.
pub const LOG_VARIABLE: &str = "FERNKNOT_LOG";

/// Begins the log, at the level that [`LOG_VARIABLE`] names, or else at `info`.
pub fn init_log() {
    let level = std::env::var(LOG_VARIABLE).ok().and_then(|level| level.parse().ok());
    // It fails only where a log has begun already, which then goes on.
    let _ = fernknot_telemetry::init(level.unwrap_or(LevelFilter::Info));
}
