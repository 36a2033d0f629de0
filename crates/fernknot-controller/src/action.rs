//! What the controller asks its host to do, and the identifiers of who waits at the other end.

use fernknot_consensus::{PersistentState, WriteId};
use fernknot_http_api::Reply;
use fernknot_rpc::{ControllerMessage, ControllerToGateway};
use log::Level;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// An HTTP call that waits for its reply. Never used again: a reply belongs to a call, not to the connection that
/// the call came on, where another one may wait by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingCall {
    /// The host's identifier of the connection.
    pub connection: u64,
    /// The number of the call on that connection.
    pub call: u64,
}

/// The connection over which a gateway has subscribed, by the host's identifier.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// One step for the host, in the order in which the controller returns them.
#[derive(Debug)]
pub enum Action {
    /// Write the reply to an HTTP call.
    Reply {
        /// The call, as the host named it.
        call: PendingCall,
        /// Status, headers and body.
        reply: Reply,
    },
    /// Send to another controller, over the connection that was opened to it.
    Send {
        /// Its internal address.
        to: SocketAddrV4,
        /// The message.
        message: ControllerMessage,
    },
    /// Send one message to several subscribers.
    Notify {
        /// Their connections.
        to: Vec<SubscriberId>,
        /// The message; encoded once for all of them.
        message: ControllerToGateway,
    },
    /// Open a connection to a controller; `peer_connected` or `peer_disconnected` follows.
    Connect {
        /// Its internal address.
        to: SocketAddrV4,
    },
    /// Stop opening that connection.
    AbortConnect {
        /// The internal address of the controller.
        to: SocketAddrV4,
    },
    /// Write and sync the consensus state, then call `write_completed`.
    Store {
        /// Identifies the write.
        write_id: WriteId,
        /// What replaces the state on disk.
        state: PersistentState,
    },
    /// Keep these addresses on disk, in place of those before. Nothing waits for it.
    StoreKnownPeers {
        /// Internal addresses of other controllers.
        addrs: Vec<SocketAddrV4>,
    },
    /// Write a line to the process log.
    Log {
        /// Severity.
        level: Level,
        /// The component, one of [`fernknot_telemetry::part`].
        target: &'static str,
        /// The text of the line.
        text: String,
    },
}

/// Actions that the host has not taken yet, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ActionQueue {
    queue: VecDeque<Action>,
}

impl ActionQueue {
    pub(crate) fn push(&mut self, action: Action) {
        self.queue.push_back(action);
    }

    pub(crate) fn pop(&mut self) -> Option<Action> {
        self.queue.pop_front()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    pub(crate) fn reply(&mut self, call: PendingCall, reply: impl Into<Reply>) {
        self.push(Action::Reply { call, reply: reply.into() });
    }

    pub(crate) fn notify(&mut self, to: Vec<SubscriberId>, message: ControllerToGateway) {
        self.push(Action::Notify { to, message });
    }

    pub(crate) fn log(&mut self, level: Level, target: &'static str, text: impl Into<String>) {
        self.push(Action::Log { level, target, text: text.into() });
    }
}
