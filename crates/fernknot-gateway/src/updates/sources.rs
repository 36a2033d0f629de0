//! Update streams that this gateway has subscribed to.

use fernknot_distribution::{SourceKind, Topic};
use fernknot_net::{ConnectionId, Network};
use fernknot_rpc::Subscription;
use std::collections::{BTreeMap, BTreeSet};
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

    pub(super) fn get(&self, id: ConnectionId) -> Option<&SourceStream> {
        self.streams.get(&id)
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

    /// Closes the stream from a source.
    pub(super) fn close<N: Network>(&mut self, source: Source, network: &mut N) {
        if let Some(id) = self.by_source.remove(&source) {
            self.streams.remove(&id);
            network.close(id);
        }
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

/// Returns the subscription to these topics of a gateway whose configuration names `service_count` services.
pub(super) fn subscription_to(topics: &[Topic], service_count: usize) -> Subscription {
    let service = |topic: &Topic| match topic {
        Topic::Configuration => None,
        Topic::Service(name) => Some(name.to_string()),
    };
    let names: Vec<String> = topics.iter().filter_map(service).collect();
    match names.len() >= service_count {
        true => Subscription::All,
        false => Subscription::Services(names),
    }
}

/// Returns the topics of a subscription; `services` are those in the configuration in force.
pub(super) fn topics_of(subscription: &Subscription, services: &BTreeSet<String>) -> Vec<Topic> {
    let mut topics: Vec<Topic> = match subscription {
        Subscription::All => services.iter().map(|name| Topic::service(name)).collect(),
        Subscription::Services(names) => names.iter().map(|name| Topic::service(name)).collect(),
    };
    topics.push(Topic::Configuration);
    topics
}
