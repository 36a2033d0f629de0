//! Why a configuration is rejected.

/// A configuration that cannot be used: the key at fault and what is wrong with it, on one line.
#[derive(Debug, thiserror::Error)]
#[error("{key}: {fault}")]
pub struct ConfigError {
    /// The path of the key in the configuration, such as `settings.classes[0].name`, or the name of an environment
    /// variable.
    pub key: String,
    /// What is wrong with its value.
    pub fault: ConfigFault,
}

/// What is wrong with the value of a key.
#[derive(Debug, thiserror::Error)]
pub enum ConfigFault {
    /// A key that is required is not there.
    #[error("missing")]
    Missing,
    /// Neither the key nor the environment variable of this name is there.
    #[error("missing, and {0} is not set")]
    MissingAndNotSet(&'static str),
    /// The budget of retries is given without the window over which it is counted.
    #[error("missing beside freeResends or extraShare")]
    MissingBudgetWindow,
    /// Peers are allowed, but their addresses are not given.
    #[error("missing, though settings.allowed.peers")]
    MissingPeerAddress,
    /// A name is empty, or another item has it too.
    #[error("missing or given twice")]
    MissingOrDuplicateName,
    /// An environment variable is not set.
    #[error("not set")]
    NotSet,
    /// The configuration file cannot be read.
    #[error("{path}: {source}")]
    UnreadableFile {
        /// The file's path, as the environment gives it.
        path: String,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The text is not JSON, or a value is not of the type that its key needs; the parser's message.
    #[error("{0}")]
    Malformed(String),
    /// The log level is unknown.
    #[error("{0:?} is neither info nor debug")]
    UnknownLogLevel(String),
    /// The seed is not 64 bits in hexadecimal digits.
    #[error("{0:?} is not 16 hex digits")]
    InvalidSeed(String),
    /// The text is not an IP address with a port.
    #[error("{0:?} is no address with a port")]
    InvalidAddress(String),
    /// A duration is zero, negative or not a number; in milliseconds.
    #[error("{0} is no time")]
    InvalidDuration(f64),
    /// A count is zero.
    #[error("must be at least 1")]
    Zero,
    /// A number is below its minimum.
    #[error("{value} is under {min}")]
    TooSmall {
        /// The number that was given.
        value: f64,
        /// The least that is accepted.
        min: f64,
    },
    /// A number is outside of its bounds.
    #[error("{value} is not between {bounds}")]
    OutOfRange {
        /// The number that was given.
        value: f64,
        /// The bounds with their unit, as text.
        bounds: String,
    },
    /// A share is not above 0 and at most 1.
    #[error("{0} is no share above 0")]
    InvalidShare(f64),
    /// The router's own zone is not among those that are named.
    #[error("{zone} is none of the {zones} zones")]
    UnknownZone {
        /// The index that was given.
        zone: u32,
        /// How many zones are named.
        zones: usize,
    },
    /// The router's position is not an index into the list of peers.
    #[error("{position} is none of the {peers} of peers")]
    UnknownPeerPosition {
        /// The position that was given.
        position: usize,
        /// How many peers are listed.
        peers: usize,
    },
    /// Membership is asked for where routers may not talk to each other.
    #[error("needs settings.allowed.peers, and more than one of settings.balancers")]
    NeedsPeers,
    /// Two peers cannot be told apart; the index of the first of them.
    #[error("has the address, or the address's print, of peers[{0}]")]
    DuplicatePeer(usize),
}

impl ConfigError {
    pub(crate) fn new(key: impl Into<String>, fault: ConfigFault) -> ConfigError {
        ConfigError { key: key.into(), fault }
    }

    /// The same error where the object that holds the key stands below `parent`.
    pub(crate) fn below(self, parent: &str) -> ConfigError {
        ConfigError { key: format!("{parent}.{}", self.key), ..self }
    }
}
