//! Inputs and outputs of a simulated process.

/// Received datagram.
pub(super) struct Input {
    /// Number of the sender.
    pub from: u32,
    /// Payload of the datagram.
    pub bytes: Vec<u8>,
}

/// Output of one iteration of the event loop of a process.
pub(super) enum Output {
    Send {
        to: u32,
        bytes: Vec<u8>,
    },
    /// Status change of another router, `member`. The flags tell whether its old and its new status are failed.
    FailureChanged {
        member: u32,
        was_failed: bool,
        is_failed: bool,
    },
}
