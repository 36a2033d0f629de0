//! Topics, pulses and the links on which they come.

use fernknot::interface::Nanos;
use fernknot_duties::Fence;
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

    /// The key of the duty to be its home.
    pub fn key(&self) -> String {
        match self {
            Topic::Configuration => "configuration".to_string(),
            Topic::Service(name) => format!("service {name}"),
        }
    }
}

/// To whom a link leads.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum What {
    Registrar,
    Home,
}

/// What a teller says at short intervals, also when there is no news.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pulse {
    /// The newest place in the order of configurations that it knows.
    pub order: u64,
    /// The version of its registry; compared only among pulses of one registrar.
    pub registry: u64,
    pub fence: Fence,
    /// It is in touch with the rest: what it says is new. A home says so only while its registrar does.
    pub lease: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Link {
    pub topics: BTreeSet<Topic>,
    pub since: Nanos,
    /// The last pulse, with a lease or without; at first, when it was attached.
    pub well_at: Nanos,
    /// The last pulse with a lease; at first, when it was attached.
    pub fresh_at: Nanos,
    /// Since when its pulses have come with a lease and without a gap.
    pub fresh_since: Option<Nanos>,
    /// A pulse has come at all.
    pub heard: bool,
}

impl Link {
    pub fn new(now: Nanos, topics: BTreeSet<Topic>) -> Link {
        Link { topics, since: now, well_at: now, fresh_at: now, fresh_since: None, heard: false }
    }

    pub fn pulse(&mut self, now: Nanos, lease: bool, stale: Nanos) {
        let gap = now - self.fresh_at > stale;
        (self.well_at, self.heard) = (now, true);
        if lease {
            self.fresh_at = now;
            self.fresh_since = self.fresh_since.filter(|_| !gap).or(Some(now));
        }
    }

    /// Its last pulse with a lease is not too old.
    pub fn is_fresh(&self, now: Nanos, stale: Nanos) -> bool {
        self.fresh_since.is_some() && now - self.fresh_at <= stale
    }
}
