//! What routers tell each other of nodes, as bytes.
//!
//! A message has a byte with the number of attempts that were sent and two bytes for the node of each; then, for each
//! attempt that ended, two bytes for its node and one for how it ended: a latency, or one of two codes for no answer.

use fernknot::interface::{Nanos, NodeId, Update};
use std::collections::HashMap;

const OVERDUE: u8 = 254;
const FAILED: u8 = 255;
/// Steps of a latency's code for each doubling, from a tenth of a millisecond.
const STEPS_PER_DOUBLING: f64 = 12.0;
const UNITS_PER_MS: f64 = 10.0;
const TAG_BYTES: usize = 2;
const ENDED_BYTES: usize = TAG_BYTES + 1;

/// Short names of nodes that are the same at every router. One that two nodes share names neither.
#[derive(Default)]
pub struct NodeTags {
    /// By the nodes' ids.
    tags: Vec<u16>,
    /// `None` for a tag that two nodes share.
    nodes: HashMap<u16, Option<NodeId>>,
}

impl NodeTags {
    /// Names a node; an id that is used again loses its old name. Ids are given in turn.
    pub fn add(&mut self, name: &str, node: NodeId) {
        let hash = fernknot_router_config::fingerprint(name);
        let tag = (hash ^ (hash >> 16)) as u16;
        match self.tags.get_mut(node.0 as usize) {
            Some(known) => {
                let old = std::mem::replace(known, tag);
                self.nodes.remove(&old);
            }
            None => self.tags.push(tag),
        }
        self.nodes.entry(tag).and_modify(|node| *node = None).or_insert(Some(node));
    }

    /// The messages that hold all updates, each of at most so many bytes. A node without a name is left out.
    pub fn write(&self, updates: &[(NodeId, Update)], max_bytes: usize) -> Vec<Vec<u8>> {
        let (sent, ended): (Vec<_>, Vec<_>) = updates.iter().partition(|(_, update)| *update == Update::Sent);
        let mut messages = Vec::new();
        let mut message = vec![0];
        for (node, update) in sent.into_iter().chain(ended) {
            let Some(tag) = self.tags.get(node.0 as usize) else { continue };
            if message.len() + ENDED_BYTES > max_bytes || message[0] == u8::MAX {
                messages.push(std::mem::replace(&mut message, vec![0]));
            }
            message.extend(tag.to_be_bytes());
            match update {
                Update::Sent => message[0] += 1,
                Update::Answered(took) => message.push(encode_latency(took)),
                Update::Overdue => message.push(OVERDUE),
                Update::Failed => message.push(FAILED),
            }
        }
        messages.extend((message.len() > 1).then_some(message));
        messages
    }

    /// What a message says of nodes that are known here; nothing if it was cut off.
    pub fn read(&self, bytes: &[u8]) -> Option<Vec<(NodeId, Update)>> {
        let (sent_count, rest) = bytes.split_first()?;
        let (sent, ended) = rest.split_at_checked(TAG_BYTES * usize::from(*sent_count))?;
        if ended.len() % ENDED_BYTES != 0 {
            return None;
        }
        let sent = sent.chunks_exact(TAG_BYTES).map(|tag| (tag, Update::Sent));
        let ended =
            ended.chunks_exact(ENDED_BYTES).map(|entry| (&entry[..TAG_BYTES], decode_end(entry[TAG_BYTES])));
        let known = |(tag, update): (&[u8], Update)| {
            let node = self.nodes.get(&u16::from_be_bytes([tag[0], tag[1]]))?;
            node.map(|node| (node, update))
        };
        Some(sent.chain(ended).filter_map(known).collect())
    }
}

fn encode_latency(latency: Nanos) -> u8 {
    let code = (latency.as_millis() * UNITS_PER_MS).max(1.0).log2() * STEPS_PER_DOUBLING;
    code.round().min(f64::from(OVERDUE - 1)) as u8
}

fn decode_end(code: u8) -> Update {
    match code {
        OVERDUE => Update::Overdue,
        FAILED => Update::Failed,
        code => {
            let millis = (f64::from(code) / STEPS_PER_DOUBLING).exp2() / UNITS_PER_MS;
            Update::Answered(Nanos::from_millis(millis))
        }
    }
}
