//! What routers tell each other, as bytes: how many hand-offs were sent, two bytes for the node of
//! each; then, for each one that ended, two bytes for its node and one for how it ended.

use fernknot::interface::{Nanos, News, NodeId};
use std::collections::HashMap;

const OVERDUE: u8 = 254;
const FAILED: u8 = 255;
/// Steps of a latency's code for each doubling, from a tenth of a millisecond.
const STEPS: f64 = 12.0;

/// Short names of nodes that are the same at every router. One that two nodes share names neither.
#[derive(Default)]
pub struct Tags {
    of: Vec<u16>,
    nodes: HashMap<u16, Option<NodeId>>,
}

impl Tags {
    /// Names a node; an id that is used again loses its old name. Ids are given in turn.
    pub fn add(&mut self, name: &str, node: NodeId) {
        let hash = fernknot_router_config::fingerprint(name);
        let tag = (hash ^ (hash >> 16)) as u16;
        match self.of.get_mut(node.0 as usize) {
            Some(held) => {
                let old = std::mem::replace(held, tag);
                self.nodes.remove(&old);
            }
            None => self.of.push(tag),
        }
        self.nodes.entry(tag).and_modify(|node| *node = None).or_insert(Some(node));
    }

    /// The messages that hold all news, each of at most so many bytes. A node without a name is
    /// left out.
    pub fn write(&self, news: &[(NodeId, News)], most: usize) -> Vec<Vec<u8>> {
        let (sent, ended): (Vec<_>, Vec<_>) = news.iter().partition(|(_, what)| *what == News::Sent);
        let mut messages = Vec::new();
        let mut bytes = vec![0];
        for (node, what) in sent.into_iter().chain(ended) {
            let Some(tag) = self.of.get(node.0 as usize) else { continue };
            if bytes.len() + 3 > most || bytes[0] == u8::MAX {
                messages.push(std::mem::replace(&mut bytes, vec![0]));
            }
            bytes.extend(tag.to_be_bytes());
            match what {
                News::Sent => bytes[0] += 1,
                News::Answered(took) => {
                    let code = (took.as_millis() * 10.0).max(1.0).log2() * STEPS;
                    bytes.push(code.round().min(f64::from(OVERDUE - 1)) as u8);
                }
                News::Overdue => bytes.push(OVERDUE),
                News::Failed => bytes.push(FAILED),
            }
        }
        messages.extend((bytes.len() > 1).then_some(bytes));
        messages
    }

    /// What a message says of nodes that are known here; nothing if it was cut off.
    pub fn read(&self, bytes: &[u8]) -> Option<Vec<(NodeId, News)>> {
        let (sent, rest) = bytes.split_first()?;
        let (sent, ended) = rest.split_at_checked(2 * usize::from(*sent))?;
        if ended.len() % 3 != 0 {
            return None;
        }
        let sent = sent.chunks_exact(2).map(|tag| (tag, News::Sent));
        let ended = ended.chunks_exact(3).map(|entry| match entry[2] {
            OVERDUE => (&entry[..2], News::Overdue),
            FAILED => (&entry[..2], News::Failed),
            code => {
                (&entry[..2], News::Answered(Nanos::from_millis((f64::from(code) / STEPS).exp2() / 10.0)))
            }
        });
        let known = |(tag, what): (&[u8], News)| {
            let node = self.nodes.get(&u16::from_be_bytes([tag[0], tag[1]]))?;
            node.map(|node| (node, what))
        };
        Some(sent.chain(ended).filter_map(known).collect())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn what_is_written_is_read_and_what_is_cut_off_or_strange_is_left_out() {
        let mut tags = Tags::default();
        tags.add("10.0.0.1:80", NodeId(0));
        tags.add("10.0.0.2:80", NodeId(1));
        let took = News::Answered(Nanos::from_millis(200.0));
        let news = [
            (NodeId(1), News::Sent),
            (NodeId(0), News::Overdue),
            (NodeId(1), News::Failed),
            (NodeId(0), took),
        ];
        let messages = tags.write(&news, 256);
        let read = tags.read(&messages[0]).unwrap();
        assert_eq!(read[..3], news[..3]);
        let (node, News::Answered(told)) = read[3] else { panic!("{read:?}") };
        assert!(node == NodeId(0) && (180.0..220.0).contains(&told.as_millis()));
        for cut in [0, 1, 2, 4, 5, messages[0].len() - 1] {
            assert_eq!(tags.read(&messages[0][..cut]), None, "cut at {cut}");
        }
        assert_eq!(Tags::default().read(&messages[0]), Some(Vec::new()));
        let split = tags.write(&news, 8);
        assert!(split.len() > 1 && split.iter().all(|message| message.len() <= 8));
        assert_eq!(split.iter().flat_map(|message| tags.read(message).unwrap()).count(), news.len());
    }
}
