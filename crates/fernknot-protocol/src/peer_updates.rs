//! Encoding of the updates on attempts that routers send to each other. An attempt is one sending of a part of a query
//! to a node.
//!
//! A message starts with a byte for the number of attempts sent, followed by the two-byte tag of the node of each.
//! Then come, for each other update, the tag of the node and a byte for the outcome of the attempt: the code of its
//! latency, or one of two codes for an attempt that is overdue or failed.

use fernknot::interface::{Nanos, NodeId, Update};
use std::collections::HashMap;

const OVERDUE_CODE: u8 = 254;
const FAILED_CODE: u8 = 255;
/// Number of latency codes per doubling of the latency; code 0 stands for a tenth of a millisecond.
const STEPS_PER_DOUBLING: f64 = 12.0;
const UNITS_PER_MS: f64 = 10.0;
const TAG_BYTES: usize = 2;
const OUTCOME_BYTES: usize = TAG_BYTES + 1;

/// Tags of nodes: hashes of their names, which are the same at every router. Received updates for a tag that two nodes
/// share are ignored.
#[derive(Default)]
pub struct NodeTags {
    /// Tag of each node, indexed by the node's id.
    tags: Vec<u16>,
    /// Node of each tag; `None` for a tag that two nodes share.
    nodes: HashMap<u16, Option<NodeId>>,
}

impl NodeTags {
    /// Assigns a node its tag; an id that is reused loses its old tag. New ids have to be added in ascending order,
    /// without gaps.
    pub fn add(&mut self, name: &str, node: NodeId) {
        let hash = fernknot_router_config::fingerprint(name);
        let tag = (hash ^ (hash >> 16)) as u16;
        match self.tags.get_mut(node.0 as usize) {
            Some(current) => {
                let old = std::mem::replace(current, tag);
                self.nodes.remove(&old);
            }
            None => self.tags.push(tag),
        }
        self.nodes.entry(tag).and_modify(|node| *node = None).or_insert(Some(node));
    }

    /// Returns messages with all updates, each of at most `max_bytes` bytes. Omits updates of nodes without a tag.
    pub fn write(&self, updates: &[(NodeId, Update)], max_bytes: usize) -> Vec<Vec<u8>> {
        let (sent, ended): (Vec<_>, Vec<_>) = updates.iter().partition(|(_, update)| *update == Update::Sent);
        let mut messages = Vec::new();
        let mut message = vec![0];
        for (node, update) in sent.into_iter().chain(ended) {
            let Some(tag) = self.tags.get(node.0 as usize) else { continue };
            if message.len() + OUTCOME_BYTES > max_bytes || message[0] == u8::MAX {
                messages.push(std::mem::replace(&mut message, vec![0]));
            }
            message.extend(tag.to_be_bytes());
            match update {
                Update::Sent => message[0] += 1,
                Update::Answered(latency) => message.push(encode_latency(latency)),
                Update::Overdue => message.push(OVERDUE_CODE),
                Update::Failed => message.push(FAILED_CODE),
            }
        }
        messages.extend((message.len() > 1).then_some(message));
        messages
    }

    /// Returns the updates in a message, without those of unknown or shared tags; `None` if the message is truncated.
    pub fn read(&self, bytes: &[u8]) -> Option<Vec<(NodeId, Update)>> {
        let (sent_count, rest) = bytes.split_first()?;
        let (sent, ended) = rest.split_at_checked(TAG_BYTES * usize::from(*sent_count))?;
        if ended.len() % OUTCOME_BYTES != 0 {
            return None;
        }
        let sent = sent.chunks_exact(TAG_BYTES).map(|tag| (tag, Update::Sent));
        let ended = ended
            .chunks_exact(OUTCOME_BYTES)
            .map(|entry| (&entry[..TAG_BYTES], decode_outcome(entry[TAG_BYTES])));
        let to_known_node = |(tag, update): (&[u8], Update)| {
            let node = self.nodes.get(&u16::from_be_bytes([tag[0], tag[1]]))?;
            node.map(|node| (node, update))
        };
        Some(sent.chain(ended).filter_map(to_known_node).collect())
    }
}

fn encode_latency(latency: Nanos) -> u8 {
    let code = (latency.as_millis() * UNITS_PER_MS).max(1.0).log2() * STEPS_PER_DOUBLING;
    code.round().min(f64::from(OVERDUE_CODE - 1)) as u8
}

fn decode_outcome(code: u8) -> Update {
    match code {
        OVERDUE_CODE => Update::Overdue,
        FAILED_CODE => Update::Failed,
        code => {
            let millis = (f64::from(code) / STEPS_PER_DOUBLING).exp2() / UNITS_PER_MS;
            Update::Answered(Nanos::from_millis(millis))
        }
    }
}
