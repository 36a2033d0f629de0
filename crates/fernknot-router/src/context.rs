//! What all that stands on sockets shares: the engine, the time of the running turn, limits, timers, counters and the
//! log. It knows none of those that use it.

use crate::counters::Counters;
use crate::events::Timer;
use crate::membership::Membership;
use crate::tcp_connection::EventLoopHandle;
use fernknot::interface::Nanos;
use fernknot_engine::Engine;
use fernknot_router_config::{Limits, SocketSettings};
use slog::Logger;
use std::collections::BTreeSet;

/// What all that stands on sockets shares.
pub struct Context {
    /// The log.
    pub log: Logger,
    /// Where sockets are registered.
    pub event_loop: EventLoopHandle,
    /// When the running turn began.
    pub now: Nanos,
    /// The limits; a configuration that is read again replaces them.
    pub limits: Limits,
    /// The settings of the sockets.
    pub settings: SocketSettings,
    /// The counters of the sockets.
    pub counters: Counters,
    /// The query router without sockets.
    pub engine: Engine,
    /// When timers are due.
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

    /// Sets a timer; it is due in the first turn from this time on.
    pub fn set_timer(&mut self, at: Nanos, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes a timer that was set for this time.
    pub fn cancel_timer(&mut self, at: Nanos, timer: Timer) {
        self.timers.remove(&(at, timer));
    }
}
