//! What all that stands on sockets shares: the engine, the time of the running turn, limits, timers, counters and the
//! log. It knows none of those that use it.

use crate::counters::Counters;
use crate::events::Timer;
use crate::membership::Membership;
use crate::tcp_connection::EventLoopHandle;
use fernknot::interface::Nanos;
use fernknot_engine::Engine;
use fernknot_router_config::{Limits, SocketFacts};
use slog::Logger;
use std::collections::BTreeSet;

pub struct Context {
    pub log: Logger,
    pub event_loop: EventLoopHandle,
    /// When the running turn began.
    pub now: Nanos,
    pub limits: Limits,
    pub settings: SocketFacts,
    pub counters: Counters,
    pub engine: Engine,
    pub timers: BTreeSet<(Nanos, Timer)>,
    /// Which routers are alive, where that is asked for.
    pub membership: Option<Membership>,
    /// A full list of nodes has come.
    pub has_list: bool,
    /// When all must have been answered, once the signal to stop has come.
    pub stop_deadline: Option<Nanos>,
    /// The router stops, and no longer accepts connections.
    pub has_lingered: bool,
}

impl Context {
    /// All counters, a line each.
    pub fn counters_text(&self) -> String {
        let membership = self.membership.as_ref().map(|membership| membership.counters.text());
        self.engine.counters.text() + &self.counters.text() + &membership.unwrap_or_default()
    }

    pub fn set_timer(&mut self, at: Nanos, timer: Timer) {
        self.timers.insert((at, timer));
    }

    pub fn cancel_timer(&mut self, at: Nanos, timer: Timer) {
        self.timers.remove(&(at, timer));
    }
}
