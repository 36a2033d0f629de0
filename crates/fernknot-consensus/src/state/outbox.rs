//! Queue of actions for the host.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use crate::types::{Action, Message};

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Envelope {
    pub to: SocketAddrV4,
    pub message: Message,
}

/// Actions that the host has not polled yet, and messages from this replica to itself.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Outbox {
    own_address: SocketAddrV4,
    local_messages: VecDeque<Message>,
    actions: VecDeque<Action>,
    last_wake: Option<Nanos>,
}

impl Outbox {
    pub fn new(own_address: SocketAddrV4) -> Outbox {
        Outbox { own_address, local_messages: VecDeque::new(), actions: VecDeque::new(), last_wake: None }
    }

    pub fn push(&mut self, action: Action) {
        self.actions.push_back(action);
    }

    /// Queues a message. One to this replica itself bypasses the host.
    pub fn send(&mut self, to: SocketAddrV4, message: Message) {
        if to == self.own_address {
            self.local_messages.push_back(message);
        } else {
            self.actions.push_back(Action::Send { to, message });
        }
    }

    pub fn next_local_message(&mut self) -> Option<Message> {
        self.local_messages.pop_front()
    }

    pub fn next_action(&mut self) -> Option<Action> {
        self.actions.pop_front()
    }

    pub fn is_empty(&self) -> bool {
        self.actions.is_empty()
    }

    /// Moves over the actions that the previous identity left.
    pub fn inherit_from(&mut self, previous: &mut Outbox) {
        self.actions.append(&mut previous.actions);
    }

    /// Returns a request to call again at the deadline, or `None` if that was the last request already.
    pub fn wake_at(&mut self, deadline: Nanos, now: Nanos) -> Option<Action> {
        if self.last_wake == Some(deadline) {
            return None;
        }
        self.last_wake = Some(deadline);
        Some(Action::Wake { after: deadline - now })
    }
}
