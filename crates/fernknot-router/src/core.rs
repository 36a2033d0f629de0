//! What all that stands on sockets shares: the engine, the time of the running turn, limits, timers,
//! counters and the log. It knows none of those that use it.

use crate::counters::Counters;
use crate::ids::Timer;
use crate::link::Handle;
use crate::membership::Membership;
use fernknot::interface::Nanos;
use fernknot_engine::Engine;
use fernknot_router_config::{Limits, SocketFacts};
use slog::Logger;
use std::collections::BTreeSet;

pub struct Core {
    pub log: Logger,
    pub handle: Handle,
    /// When the running turn began.
    pub now: Nanos,
    pub limits: Limits,
    pub facts: SocketFacts,
    pub counters: Counters,
    pub engine: Engine,
    pub timers: BTreeSet<(Nanos, Timer)>,
    /// Which routers live, where that is asked for.
    pub fleet: Option<Membership>,
    pub has_list: bool,
    /// When all must have been answered, once the order to stop has come.
    pub stop_by: Option<Nanos>,
    pub lingered: bool,
}

impl Core {
    /// All counters, a line each.
    pub fn counters_text(&self) -> String {
        let fleet = self.fleet.as_ref().map(|fleet| fleet.counters.text());
        self.engine.counters.text() + &self.counters.text() + &fleet.unwrap_or_default()
    }
}
