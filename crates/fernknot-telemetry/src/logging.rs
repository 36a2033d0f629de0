//! Initialisation of the log.

use log::{Level, LevelFilter, SetLoggerError};

/// Libraries with verbose logs, of which only warnings and errors are logged.
const NOISY_LIBRARIES: [&str; 2] = ["fjall", "lsm_tree"];

/// Initialises the log: lines of this level and above are written to standard error as `LEVEL COMPONENT: MESSAGE`, with
/// the level as one letter.
///
/// # Errors
///
/// A log has already been initialised in this process.
pub fn init(level: LevelFilter) -> Result<(), SetLoggerError> {
    let dispatch = NOISY_LIBRARIES.iter().fold(fern::Dispatch::new().level(level), |dispatch, library| {
        dispatch.level_for(*library, level.min(LevelFilter::Warn))
    });
    let formatted = dispatch.format(|out, message, record| {
        out.finish(format_args!("{} {}: {message}", level_letter(record.level()), record.target()));
    });
    formatted.chain(std::io::stderr()).apply()
}

fn level_letter(level: Level) -> char {
    match level {
        Level::Error => 'E',
        Level::Warn => 'W',
        Level::Info => 'I',
        Level::Debug => 'D',
        Level::Trace => 'T',
    }
}
