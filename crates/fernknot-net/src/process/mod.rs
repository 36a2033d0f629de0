//! Code shared by the server processes, which are controllers and gateways: command line, settings file, log and clock.

mod clock;
mod command_line;
mod error;
mod processor_times;
mod settings_file;

pub use clock::Clock;
pub use command_line::{BAD_USAGE_EXIT_CODE, Command, Program};
pub use error::ProcessError;
pub use processor_times::ProcessorTimes;
pub use settings_file::{SETTINGS_VARIABLE, SettingsFile};

use fernknot_telemetry::LevelFilter;

/// Environment variable with the log level.
pub const LOG_VARIABLE: &str = "FERNKNOT_LOG";

/// Initialises the log with the level in [`LOG_VARIABLE`], or `info` if it is not set or not valid.
pub fn init_log() {
    let level = std::env::var(LOG_VARIABLE).ok().and_then(|level| level.parse().ok());
    // This fails only if a log has already been initialised, which then stays in use.
    let _ = fernknot_telemetry::init(level.unwrap_or(LevelFilter::Info));
}
