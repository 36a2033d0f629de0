//! One connection to a data node, and what is on it.

use crate::link::Link;
use fernknot::interface::*;
use fernknot_protocol::outbox::Outbox;
use std::collections::{HashMap, VecDeque};

/// How far a hand-off's frame has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    Waiting,
    /// Its first byte has been written, not its last.
    Begun,
    Written,
}

pub struct Carried {
    pub part: PartId,
    pub no: HandOffNo,
    pub call: u64,
    pub stage: Stage,
}

pub enum Item {
    Call(Vec<(PartId, HandOffNo)>),
    GiveUp(String),
}

pub struct NodeLink {
    pub node: NodeId,
    pub link: Link,
    pub up: bool,
    /// The node has moved or started anew since; it takes nothing new.
    pub old: bool,
    pub waiting: VecDeque<Item>,
    pub outbox: Outbox<Item>,
    /// What is out on it, by the parts' ids.
    pub carried: HashMap<String, Carried>,
    /// Calls with parts that are out, and how many.
    pub calls: HashMap<u64, usize>,
    pub next_call: u64,
    /// Parts given up on it, whose answers may still come.
    pub given_up: VecDeque<String>,
    pub used: Nanos,
    /// When bytes last came.
    pub heard: Nanos,
    pub idle_at: Nanos,
    /// When it must be up, or the frame that has begun to come must be whole.
    pub due: Option<Nanos>,
}

impl NodeLink {
    pub fn is_idle(&self) -> bool {
        self.carried.is_empty() && self.waiting.is_empty() && self.link.output.is_empty()
    }

    /// The id of a part does not tell its hand-offs apart, so two of one part never share a connection.
    pub fn takes(&self, ids: &[&str], streams: usize) -> bool {
        let fresh =
            |id: &&str| !self.carried.contains_key(*id) && !self.given_up.iter().any(|held| held == id);
        !self.old && self.calls.len() < streams && ids.iter().all(fresh)
    }

    pub fn release(&mut self, id: &str) -> Option<Carried> {
        let carried = self.carried.remove(id)?;
        if let Some(left) = self.calls.get_mut(&carried.call) {
            *left -= 1;
            if *left == 0 {
                self.calls.remove(&carried.call);
            }
        }
        Some(carried)
    }
}
