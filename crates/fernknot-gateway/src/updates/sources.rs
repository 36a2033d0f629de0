//! Update streams that this gateway has subscribed to.

use fernknot_distribution::SourceKind;
use fernknot_net::{ConnectionId, Network};
use fernknot_rpc::Subscription;
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A process that this gateway receives updates from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Source {
    pub(super) kind: SourceKind,
    pub(super) addr: SocketAddrV4,
}

/// Update stream from one source.
pub(super) struct SourceStream {
    pub(super) source: Source,
    pub(super) subscription: Subscription,
    /// Whether the configuration is received from this source. Only this source receives reports of the gateways that
    /// subscribe to this one.
    pub(super) carries_config: bool,
    /// Watermark of the node directory when this gateway subscribed; needed to complete the snapshot that follows.
    pub(super) watermark: u64,
    /// Whether the source has sent all node records of the subscription.
    pub(super) is_complete: bool,
}

/// All update streams, by connection and by source.
#[derive(Default)]
pub(super) struct SourceStreams {
    streams: BTreeMap<ConnectionId, SourceStream>,
    by_source: BTreeMap<Source, ConnectionId>,
    started: u64,
}

impl SourceStreams {
    pub(super) fn insert(&mut self, id: ConnectionId, stream: SourceStream) {
        self.by_source.insert(stream.source, id);
        let replaced = self.streams.insert(id, stream);
        self.started += u64::from(replaced.is_none());
    }

    /// Number of streams that were started.
    pub(super) fn started(&self) -> u64 {
        self.started
    }

    pub(super) fn contains(&self, id: ConnectionId) -> bool {
        self.streams.contains_key(&id)
    }

    pub(super) fn get_mut(&mut self, id: ConnectionId) -> Option<&mut SourceStream> {
        self.streams.get_mut(&id)
    }

    pub(super) fn connection_of(&self, source: Source) -> Option<ConnectionId> {
        self.by_source.get(&source).copied()
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (ConnectionId, &SourceStream)> {
        self.streams.iter().map(|(id, stream)| (*id, stream))
    }

    /// Closes the stream from a source. Returns its connection.
    pub(super) fn close<N: Network>(&mut self, source: Source, network: &mut N) -> Option<ConnectionId> {
        let id = self.by_source.remove(&source)?;
        self.streams.remove(&id);
        network.close(id);
        Some(id)
    }

    /// Removes a stream whose connection is closed.
    pub(super) fn remove(&mut self, id: ConnectionId) -> Option<SourceStream> {
        let stream = self.streams.remove(&id)?;
        self.by_source.remove(&stream.source);
        Some(stream)
    }

    /// Returns the sources as text for operators.
    pub(super) fn describe(&self) -> String {
        let line = |stream: &SourceStream| {
            let Source { kind, addr } = stream.source;
            format!("subscribed to {kind:?} {addr}\n")
        };
        self.streams.values().map(line).collect()
    }
}
