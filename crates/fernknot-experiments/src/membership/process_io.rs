//! What passes between a process and its host.

/// A datagram that arrived.
pub(super) struct Input {
    /// The sender.
    pub from: u32,
    /// The datagram.
    pub bytes: Vec<u8>,
}

/// What a process does in a turn.
pub(super) enum Output {
    Send {
        to: u32,
        bytes: Vec<u8>,
    },
    /// Whether another router counts as failed has changed, or its status has otherwise.
    FailureChanged {
        member: u32,
        was_failed: bool,
        is_failed: bool,
    },
}
