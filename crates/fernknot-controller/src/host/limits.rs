//! Limits on connections, messages and buffers, derived from the resources in the settings.

use fernknot_schema::ProcessSettings;

/// Number of file descriptors reserved for the disk and the process itself.
pub const RESERVED_DESCRIPTORS: u64 = 200;
/// Maximum size of a configuration, in bytes, if enough memory is available.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// Divisor of the process memory that gives the size limit of one configuration, which is held in several buffers at
/// once.
const CONFIG_MEMORY_DIVISOR: usize = 16;
/// Size of a message in addition to the configuration in it, in bytes.
const MESSAGE_OVERHEAD_BYTES: usize = 64 * 1024;
/// Size of the length prefix of a message, in bytes.
const MESSAGE_LENGTH_BYTES: usize = 4;
/// Pending output allowed in addition to two messages of maximum size, in bytes. A receiver with more does not read,
/// and is disconnected.
const OUTPUT_SLACK_BYTES: usize = 1 << 20;
/// Maximum size of a message over a connection on which no controller has identified itself, as on those of gateways,
/// in bytes.
pub const MAX_UNIDENTIFIED_MESSAGE_BYTES: usize = MESSAGE_OVERHEAD_BYTES;

/// Limits of one host, fixed at its start.
#[derive(Clone, Copy, Debug)]
pub struct HostLimits {
    /// Maximum number of connections of all kinds: the file descriptors that are not reserved.
    pub max_connections: usize,
    /// Maximum size of a configuration, in bytes.
    pub max_config_bytes: usize,
    /// Maximum size of a message from an identified controller, in bytes.
    pub max_message_bytes: usize,
}

impl HostLimits {
    /// Derives the limits from checked settings.
    pub fn new(settings: &ProcessSettings) -> HostLimits {
        let memory_bytes = (settings.limits.memory_mb * (1 << 20) as f64) as usize;
        let max_config_bytes = MAX_CONFIG_BYTES.min(memory_bytes / CONFIG_MEMORY_DIVISOR);
        HostLimits {
            max_connections: (settings.limits.fd_limit - RESERVED_DESCRIPTORS) as usize,
            max_config_bytes,
            max_message_bytes: 2 * max_config_bytes + MESSAGE_OVERHEAD_BYTES,
        }
    }

    /// Maximum number of bytes to read ahead on one connection.
    pub fn read_ahead_bytes(&self) -> usize {
        self.max_message_bytes + MESSAGE_LENGTH_BYTES
    }

    /// Maximum number of bytes pending to be written on one connection; with more, the connection is closed.
    pub fn max_output_bytes(&self) -> usize {
        2 * self.max_message_bytes + OUTPUT_SLACK_BYTES
    }
}
