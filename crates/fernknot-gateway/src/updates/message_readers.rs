//! Reading of messages from the connections of updates.

use fernknot_net::{Buffer, ConnectionId};
use fernknot_rpc::{DecodeError, DecodeOwned, MessageReader};
use std::collections::BTreeMap;

/// Incomplete messages, by connection.
#[derive(Default)]
pub(super) struct MessageReaders {
    readers: BTreeMap<ConnectionId, MessageReader>,
}

impl MessageReaders {
    /// Takes the next message of a connection, or returns `None` if it is incomplete. `max_bytes` limits its length.
    ///
    /// # Errors
    /// Returns an error if the message is too long or cannot be decoded.
    pub(super) fn read<M: DecodeOwned>(
        &mut self,
        id: ConnectionId,
        input: &mut Buffer,
        max_bytes: usize,
    ) -> Result<Option<M>, DecodeError> {
        let reader = self.readers.entry(id).or_default();
        let message = reader.read(input, max_bytes);
        if reader.is_empty() {
            self.readers.remove(&id);
        }
        message
    }

    /// Discards the incomplete message of a connection that is closed.
    pub(super) fn remove(&mut self, id: ConnectionId) {
        self.readers.remove(&id);
    }
}
