//! What a process tells of itself: short sentences in its log, each behind the fixed name of its part, and
//! counters by name.
//!
//! A sentence is written with the name of its part as target: `log::info!(target: gauge::part::VIEWS, ...)`.
//! Writing takes processor time that is paid for: only changes are told, never a single request or beat.

mod counters;

pub use counters::Counters;
pub use log::LevelFilter;

/// The parts that speak; each name is the fixed prefix of its sentences.
pub mod part {
    /// The program as a whole: its start and its end.
    pub const PROCESS: &str = "process";
    /// The settings file.
    pub const SETTINGS: &str = "facts";
    /// Sockets and who is at their other ends.
    pub const CONNECTIONS: &str = "links";
    /// Who keeps the control state, and in which order it changes.
    pub const CONSENSUS: &str = "views";
    /// Configurations taken or refused.
    pub const ROUTING_CONFIG: &str = "plan";
    /// Nodes as they beat, drain and go.
    pub const NODES: &str = "nodes";
    /// Which gateway has which duty.
    pub const OWNERSHIP: &str = "duties";
    /// The disk.
    pub const STORAGE: &str = "disk";
}

/// Libraries that tell of every step they take; only their troubles are of use here.
const NOISY_LIBRARIES: [&str; 2] = ["fjall", "lsm_tree"];

/// Begins the log: sentences of this level and above go to standard error.
///
/// # Errors
/// Where a log has begun already.
pub fn init(level: LevelFilter) -> Result<(), log::SetLoggerError> {
    let log = NOISY_LIBRARIES.iter().fold(fern::Dispatch::new().level(level), |log, library| {
        log.level_for(*library, level.min(LevelFilter::Warn))
    });
    log.format(|out, sentence, record| {
        out.finish(format_args!("{} {}: {sentence}", level_letter(record.level()), record.target()));
    })
    .chain(std::io::stderr())
    .apply()
}

fn level_letter(level: log::Level) -> char {
    match level {
        log::Level::Error => 'E',
        log::Level::Warn => 'W',
        log::Level::Info => 'I',
        log::Level::Debug => 'D',
        log::Level::Trace => 'T',
    }
}
