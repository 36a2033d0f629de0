//! The way of one part from owner to owner: where it goes next, and when it stops.

use crate::map::{Change, Epoch, Map, Owners};
use crate::span::Span;
use fernknot::interface::NodeId;

/// What is to become of a part whose owner said that it has moved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Hop {
    /// It goes on to any of these; as more than one entry where its keys have been split.
    On(Vec<(Span, Vec<NodeId>)>),
    /// Nobody is known to own some of its keys, or only those that have sent it away: refused, cleanly.
    NoOwner,
    /// It has been sent on as often as may be.
    TooFar,
}

/// A part on its way. A store that has sent keys away is not asked for them again at that epoch; it ends
/// after a stated number of hops whatever stores say.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Route {
    pub span: Span,
    hops: u32,
    most: u32,
    sent_away: Vec<(NodeId, Span, Epoch)>,
}

impl Route {
    pub fn new(span: Span, most: u32) -> Route {
        Route { span, hops: 0, most, sent_away: Vec::new() }
    }

    pub fn hops(&self) -> u32 {
        self.hops
    }

    /// Where the part goes at first.
    pub fn first(&self, map: &Map) -> Hop {
        self.owners(map)
    }

    /// A node sent the part away and told who owns what; the map has been told already. That it was sent
    /// away proves that nothing of it ran there. The node is asked again for what it may still own by its own
    /// word, and for the rest only once a later epoch is known than it told and than the map has. Guards
    /// against a store that sends away what it owns, and against two that point at each other.
    pub fn sent_away(&mut self, map: &Map, by: NodeId, told: &[Change]) -> Hop {
        self.hops += 1;
        let within = |change: &&Change| change.span.meet(&self.span).is_some();
        let (keeps, lacks): (Vec<&Change>, Vec<&Change>) =
            told.iter().filter(within).partition(|change| change.owners.has(by));
        let all = Change { span: self.span, epoch: Epoch(0), owners: Owners::default(), moving: None };
        // One that keeps all or tells nothing of it has no cause to send it away.
        let lacks = if lacks.is_empty() || keeps.is_empty() { vec![&all] } else { lacks };
        for change in lacks {
            let epochs = map.pieces(change.span).into_iter().filter_map(|piece| piece.epoch);
            let told = told.iter().map(|told| told.epoch).max();
            let epoch = epochs.chain(told).max().unwrap_or_default();
            self.sent_away.push((by, change.span, epoch));
        }
        if self.hops > self.most {
            return Hop::TooFar;
        }
        self.owners(map)
    }

    /// The part of a span that was split off; it has gone as far as this one.
    pub fn split(&self, span: Span) -> Route {
        Route { span, ..self.clone() }
    }

    fn owners(&self, map: &Map) -> Hop {
        let mut on = Vec::new();
        for piece in map.pieces(self.span) {
            let asked = |node: &NodeId| {
                let away = |(by, span, at): &(NodeId, Span, Epoch)| {
                    by == node
                        && span.meet(&piece.span).is_some()
                        && piece.epoch.is_none_or(|epoch| *at >= epoch)
                };
                !self.sent_away.iter().any(away)
            };
            let left: Vec<NodeId> = piece.ask.iter().filter(asked).collect();
            if left.is_empty() {
                return Hop::NoOwner;
            }
            on.push((piece.span, left));
        }
        Hop::On(on)
    }
}
