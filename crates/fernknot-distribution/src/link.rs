//! Topics, pulses and the links on which they come.

use fernknot::interface::Nanos;
use fernknot_ownership::{FencingToken, key_hash};
use std::collections::BTreeSet;
use std::sync::Arc;

/// What news is about.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Topic {
    /// The configuration, and the cuts of duties.
    Configuration,
    /// The nodes of a service.
    Service(Arc<str>),
}

impl Topic {
    /// The nodes of a service.
    pub fn service(name: &str) -> Topic {
        Topic::Service(name.into())
    }

    /// The ward it belongs to, of so many.
    pub(crate) fn group(&self, wards: usize) -> usize {
        match self {
            Topic::Configuration => 0,
            Topic::Service(name) => (key_hash(name) >> 32) as usize % wards.max(1),
        }
    }
}

/// The key of the duty to be home for the topics of a ward. One home for each topic would cost every gateway a pulse
/// of each; so topics share homes, the more of them the larger the zone.
pub(crate) fn group_key(ward: usize) -> String {
    format!("home {ward}")
}

/// To whom a link leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum SourceKind {
    Controller,
    Relay,
}

/// What a teller says at short intervals, also when there is no news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SourceHeartbeat {
    /// The newest place in the order of configurations that it knows.
    pub revision: u64,
    /// The version of its registry; compared only among pulses of one controller.
    pub registry_version: u64,
    pub fencing_token: FencingToken,
    /// It is in touch with the rest: what it says is new. A home says so only while its controller does.
    pub has_lease: bool,
    /// How many passed it on since the controller. One that runs in a circle, where two gateways hold different cuts,
    /// is soon no pulse of a lease any more.
    pub hops: u8,
}

/// More than any tree of homes is deep.
pub(crate) const MAX_HOPS: u8 = 6;

#[derive(Clone, Debug)]
pub(crate) struct Subscription {
    pub topics: BTreeSet<Topic>,
    pub attached_at: Nanos,
    /// The last pulse, with a lease or without; at first, when it was attached.
    pub last_message_at: Nanos,
    /// The last pulse with a lease; at first, when it was attached.
    pub last_leased_at: Nanos,
    /// Since when its pulses have come with a lease and without a gap.
    pub leased_since: Option<Nanos>,
    /// A pulse has come at all.
    pub has_responded: bool,
    pub hops: u8,
}

impl Subscription {
    pub fn new(now: Nanos, topics: BTreeSet<Topic>) -> Subscription {
        Subscription {
            topics,
            attached_at: now,
            last_message_at: now,
            last_leased_at: now,
            leased_since: None,
            has_responded: false,
            hops: 0,
        }
    }

    pub fn record_heartbeat(&mut self, now: Nanos, lease: bool, hops: u8, stale: Nanos) {
        let gap = now - self.last_leased_at > stale;
        (self.last_message_at, self.has_responded) = (now, true);
        if lease {
            (self.last_leased_at, self.hops) = (now, hops);
            self.leased_since = self.leased_since.filter(|_| !gap).or(Some(now));
        }
    }

    /// Its last pulse with a lease is not too old.
    pub fn is_fresh(&self, now: Nanos, stale: Nanos) -> bool {
        self.leased_since.is_some() && now - self.last_leased_at <= stale
    }
}
