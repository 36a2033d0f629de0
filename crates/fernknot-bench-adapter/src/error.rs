//! Why the adapter gives up: the bench and the adapter do not understand each other.

use thiserror::Error;

/// Why the adapter gives up.
#[derive(Debug, Error)]
pub enum AdapterError {
    /// Standard input failed.
    #[error("cannot read a batch: {0}")]
    ReadBatch(std::io::Error),
    /// A line is not JSON.
    #[error("not JSON: {0}")]
    NotJson(serde_json::Error),
    /// A line is JSON, but no batch.
    #[error("not a batch: {0}")]
    NotABatch(serde_json::Error),
    /// The fields of an event are not those of its name.
    #[error("event {event}: {source}")]
    MalformedEvent {
        /// The event's name.
        event: String,
        /// What is wrong.
        source: serde_json::Error,
    },
    /// An event `view` names a sheet that no `directory` gave.
    #[error("event view: its sheet was never given")]
    UnknownSheet,
    /// The settings of an instance were rejected.
    #[error("{0}")]
    Settings(#[from] fernknot_router_config::ConfigError),
    /// An event `finished` has a status that stands for no outcome.
    #[error("unknown outcome {0}")]
    UnknownOutcome(u32),
    /// A reply could not be serialised.
    #[error("cannot write a reply: {0}")]
    WriteReply(serde_json::Error),
    /// Standard output failed.
    #[error("cannot write: {0}")]
    Write(std::io::Error),
}
