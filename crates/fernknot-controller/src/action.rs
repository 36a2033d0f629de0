//! Actions that the controller requests from its host, and identifiers of callers and subscribers.

use fernknot_consensus::{PersistentState, WriteId};
use fernknot_http_api::Reply;
use fernknot_rpc::{ControllerMessage, ControllerToGateway};
use fernknot_usage_reporting::CallId;
use log::Level;
use std::collections::VecDeque;
use std::net::SocketAddrV4;

/// Identifier of an HTTP call awaiting its reply. Never reused: replies are matched to a call rather than to its
/// connection, because another call may be pending on the same connection by then.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct PendingCall {
    /// Host's identifier of the connection over which the call was received.
    pub connection: u64,
    /// Number of the call on that connection, counted from 1.
    pub call: u64,
}

/// Identifier, assigned by the host, of the connection over which a gateway subscribed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SubscriberId(pub u64);

/// A step for the host to perform, in the order in which the controller returns them.
#[derive(Debug)]
pub enum Action {
    /// Write the reply to an HTTP call.
    Reply {
        /// Call to reply to; if its caller has disconnected, the reply is dropped.
        call: PendingCall,
        /// HTTP status, headers and body to write.
        reply: Reply,
    },
    /// Send a message to another controller, over the connection opened to it.
    Send {
        /// Internal address of the controller.
        to: SocketAddrV4,
        /// Message to encode with `fernknot-rpc` and send.
        message: ControllerMessage,
    },
    /// Send one message to several subscribers.
    Notify {
        /// Connections of the subscribers.
        to: Vec<SubscriberId>,
        /// Message, encoded once for all subscribers.
        message: ControllerToGateway,
    },
    /// Open a connection to a controller; a call of `peer_connected` or `peer_disconnected` follows.
    Connect {
        /// Internal address of the controller.
        to: SocketAddrV4,
    },
    /// Abort the attempt to open a connection to a controller that [`Action::Connect`] began; no call follows.
    AbortConnect {
        /// Internal address of the controller.
        to: SocketAddrV4,
    },
    /// Write and sync the state of the consensus member, then call `write_completed` with the result.
    Store {
        /// Identifier of the write, passed back with its result.
        write_id: WriteId,
        /// Complete state of the consensus member, which replaces the one on disk.
        state: PersistentState,
    },
    /// Replace the stored addresses of other controllers. The controller does not wait for the write.
    StoreKnownPeers {
        /// Internal addresses of all other controllers that this one knows; they are passed to the next
        /// `disk_loaded`.
        addrs: Vec<SocketAddrV4>,
    },
    /// Connect to the platform. Once the connection is open, `take_platform_call` returns what to write. A call of
    /// `platform_call_finished` follows unless that returns None or the call is aborted.
    StartPlatformCall {
        /// Identifier of the attempt.
        call: CallId,
    },
    /// Close the connection of a call to the platform that [`Action::StartPlatformCall`] began; no call follows.
    AbortPlatformCall {
        /// Identifier of the attempt.
        call: CallId,
    },
    /// Write a line to the process log.
    Log {
        /// Severity, by which the log may leave the line out.
        level: Level,
        /// Component that the line is about, one of [`fernknot_telemetry::component`].
        target: &'static str,
        /// Text of the line, without a line break at its end.
        text: String,
    },
}

/// Queue of actions that the host has not taken yet, oldest first.
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
