//! What the host is to do next.

use std::collections::VecDeque;
use std::net::SocketAddrV4;

use fernknot::interface::Nanos;

use crate::types::{Action, Message};

/// A message and where it goes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(crate) struct Envelope {
    pub to: SocketAddrV4,
    pub message: Message,
}

/// Actions that the host has not polled yet, and messages to this replica itself.
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

    /// Sends a message; one to this replica itself needs no host.
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

    /// Takes over the actions that an earlier identity left.
    pub fn take_over(&mut self, earlier: &mut Outbox) {
        self.actions.append(&mut earlier.actions);
    }

    /// Asks the host to call again at the deadline; `None` where it was asked before.
    pub fn wake_at(&mut self, deadline: Nanos, now: Nanos) -> Option<Action> {
        if self.last_wake == Some(deadline) {
            return None;
        }
        self.last_wake = Some(deadline);
        Some(Action::Wake { after: deadline - now })
    }
}
