//! Errors of a configuration that is rejected.

/// Error of a configuration that cannot be used; its message is one line with the key and the fault.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct ConfigError {
    /// Path of the key in the configuration, such as `settings.classes[0].name`, or the name of an environment
    /// variable.
    pub key: String,
    /// Fault of the key's value.
    pub fault: ConfigFault,
}

/// Fault of the value of a key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// A required key is missing.
    #[error("missing")]
    Missing,
    /// Neither the key nor the environment variable of this name is set.
    #[error("missing, and {0} is not set")]
    MissingAndNotSet(&'static str),
    /// A retry budget (a limit on retries) is given without the window over which retries are counted.
    #[error("missing, but required with freeResends or extraShare")]
    MissingBudgetWindow,
    /// Messages to the peers, the other routers, are allowed, but an address for them is missing.
    #[error("missing, but required with settings.allowed.peers")]
    MissingPeerAddress,
    /// A name is empty, or not unique.
    #[error("empty or not unique")]
    MissingOrDuplicateName,
    /// An environment variable is not set.
    #[error("not set")]
    NotSet,
    /// The configuration file cannot be read.
    #[error("{path}: {source}")]
    UnreadableFile {
        /// Path of the file, from the environment.
        path: String,
        /// Error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON, or a value is not of the type of its key. Holds the parser's message.
    #[error("{0}")]
    Malformed(String),
    /// The log level is unknown.
    #[error("{0:?} is neither info nor debug")]
    UnknownLogLevel(String),
    /// The seed is not a 64-bit number in hexadecimal digits.
    #[error("{0:?} is not 16 hex digits")]
    InvalidSeed(String),
    /// The text is not an IP address with a port.
    #[error("{0:?} is not an IP address with a port")]
    InvalidAddress(String),
    /// A duration in milliseconds is zero, negative or not a number.
    #[error("{0} is not a positive number of milliseconds")]
    InvalidDuration(f64),
    /// A count is zero.
    #[error("must be at least 1")]
    Zero,
    /// A number is below its minimum.
    #[error("{value} is less than the minimum of {min}")]
    TooSmall {
        /// Value of the key.
        value: f64,
        /// Least value that is accepted.
        min: f64,
    },
    /// A number is out of its bounds, which may themselves be excluded.
    #[error("{value} is not between {bounds}")]
    OutOfRange {
        /// Value of the key.
        value: f64,
        /// Bounds with their unit, as text.
        bounds: String,
    },
    /// A share is not above 0 and at most 1.
    #[error("{0} is not above 0 and at most 1")]
    InvalidShare(f64),
    /// The router's own zone is not an index into the list of zones.
    #[error("{zone} is not the index of one of {zones} zones")]
    UnknownZone {
        /// Value of the key.
        zone: u32,
        /// Number of zones in the list.
        zones: usize,
    },
    /// The router's position is not an index into the list of all routers' addresses (`peers`).
    #[error("{position} is not the index of one of {peers} peers")]
    UnknownPeerPosition {
        /// Value of the key.
        position: usize,
        /// Number of addresses in `peers`.
        peers: usize,
    },
    /// The membership protocol, by which routers detect which of them are alive, is enabled, but routers may not send
    /// messages to each other, or there is only one.
    #[error("needs settings.allowed.peers, and more than one of settings.balancers")]
    NeedsPeers,
    /// Two routers' addresses in `peers` are equal, or have the same fingerprint (32-bit hash). Holds the index of the
    /// first of them.
    #[error("has the address, or the fingerprint of the address, of peers[{0}]")]
    DuplicatePeer(usize),
}

impl ConfigError {
    pub(crate) fn new(key: impl Into<String>, fault: ConfigFault) -> ConfigError {
        ConfigError { key: key.into(), fault }
    }

    /// Returns the same error with the key's path prefixed by `parent`.
    pub(crate) fn below(self, parent: &str) -> ConfigError {
        ConfigError { key: format!("{parent}.{}", self.key), ..self }
    }
}
