//! Errors that end the adapter.

use thiserror::Error;

/// Fatal error: input that the adapter does not understand, or a failure of standard input or output.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("cannot read a batch: {0}")]
    ReadBatch(std::io::Error),
    /// A line of input is not valid JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A line of input is valid JSON, but not a batch.
    #[error("not a batch: {0}")]
    NotABatch(serde_json::Error),
    /// The fields of an event are missing or of the wrong type.
    #[error("event {event}: {source}")]
    MalformedEvent {
        /// Name of the event.
        event: String,
        /// Error of the parser.
        source: serde_json::Error,
    },
    /// An event `view`, which gives an instance a list of nodes, refers by `sheet` to a directory (numbered list) that
    /// no earlier event `directory` defined.
    #[error("event view: no earlier event directory has its sheet")]
    UnknownDirectory,
    /// The settings of an instance are invalid.
    #[error("{0}")]
    Settings(#[from] fernknot_router_config::ConfigError),
    /// The status of an event `finished`, the end of an attempt, is not that of any outcome.
    #[error("event finished: unknown status {0}")]
    UnknownStatus(u32),
    /// A reply cannot be serialised.
    #[error("cannot write a reply: {0}")]
    WriteReply(serde_json::Error),
    /// Standard output cannot be written.
    #[error("cannot write to standard output: {0}")]
    Write(std::io::Error),
}
