//! Bounds on connections, messages and buffers, by the resources that the settings grant.

use fernknot_schema::ProcessSettings;

/// File descriptors that are reserved for the disk and the process itself.
pub const RESERVED_DESCRIPTORS: u64 = 200;
/// The largest configuration, in bytes, where memory is not small.
const MAX_CONFIG_BYTES: usize = 8 << 20;
/// The memory divided by this bounds one configuration: it stands in several buffers at once.
const MEMORY_PER_CONFIG: usize = 16;
/// Bytes of a message around the configuration in it.
const MESSAGE_OVERHEAD_BYTES: usize = 64 * 1024;
/// Bytes of the length in front of a message.
const MESSAGE_LENGTH_BYTES: usize = 4;
/// Bytes that may wait for a receiver beyond two of the largest messages: one with more does not read, and is
/// disconnected.
const OUTPUT_SLACK_BYTES: usize = 1 << 20;
/// Bytes of a message from a sender that has not identified itself.
pub const MAX_UNIDENTIFIED_MESSAGE_BYTES: usize = MESSAGE_OVERHEAD_BYTES;

/// The bounds of one host.
#[derive(Clone, Copy, Debug)]
pub struct HostLimits {
    /// Connections of all kinds at once.
    pub max_connections: usize,
    /// Bytes of one configuration.
    pub max_config_bytes: usize,
    /// Bytes of one message from another controller.
    pub max_message_bytes: usize,
}

impl HostLimits {
    /// The bounds that follow from the settings, which have been checked.
    pub fn new(settings: &ProcessSettings) -> HostLimits {
        let memory_bytes = (settings.limits.memory_mb * (1 << 20) as f64) as usize;
        let max_config_bytes = MAX_CONFIG_BYTES.min(memory_bytes / MEMORY_PER_CONFIG);
        HostLimits {
            max_connections: (settings.limits.fd_limit - RESERVED_DESCRIPTORS) as usize,
            max_config_bytes,
            max_message_bytes: 2 * max_config_bytes + MESSAGE_OVERHEAD_BYTES,
        }
    }

    /// Bytes that are read ahead on one connection.
    pub fn read_ahead_bytes(&self) -> usize {
        self.max_message_bytes + MESSAGE_LENGTH_BYTES
    }

    /// Bytes that may wait to be written on one connection.
    pub fn max_output_bytes(&self) -> usize {
        2 * self.max_message_bytes + OUTPUT_SLACK_BYTES
    }
}
