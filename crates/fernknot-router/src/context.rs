//! State shared by all modules with sockets: the engine, the time of the current iteration, limits, timers, counters
//! and the log. It does not depend on the modules that use it.

use crate::counters::Counters;
use crate::events::Timer;
use crate::membership::Membership;
use crate::tcp_connection::EventLoopHandle;
use fernknot::interface::Nanos;
use fernknot_engine::Engine;
use fernknot_router_config::{Limits, SocketSettings};
use slog::Logger;
use std::collections::BTreeSet;

/// State shared by all modules with sockets.
pub struct Context {
    /// Logger of the process.
    pub log: Logger,
    /// Event loop, with which sockets are registered.
    pub event_loop: EventLoopHandle,
    /// Start of the current iteration of the event loop.
    pub now: Nanos,
    /// Limits on sizes, counts and durations. A reload of the configuration replaces them.
    pub limits: Limits,
    /// Settings of the sockets, such as the maximum number of parts in a call. A reload does not change them.
    pub settings: SocketSettings,
    /// Counters of the sockets.
    pub counters: Counters,
    /// Engine, which decides on the attempts of all requests and has their state.
    pub engine: Engine,
    /// Timers, sorted by the time for which they are set.
    pub timers: BTreeSet<(Nanos, Timer)>,
    /// Membership, which detects the live routers; `None` if it is off.
    pub membership: Option<Membership>,
    /// Whether a full list of nodes has been applied, from discovery or from the configuration (the last known list).
    pub has_full_list: bool,
    /// Time by which all requests must be answered; `None` before the signal to stop.
    pub stop_deadline: Option<Nanos>,
    /// Whether the router is stopping and no longer accepts connections.
    pub is_linger_over: bool,
}

impl Context {
    /// Returns all counters, one per line.
    pub fn counters_text(&self) -> String {
        let membership = self.membership.as_ref().map(|membership| membership.counters.text());
        self.engine.counters.text() + &self.counters.text() + &membership.unwrap_or_default()
    }

    /// Sets a timer, which expires in the first iteration at or after this time.
    pub fn set_timer(&mut self, at: Nanos, timer: Timer) {
        self.timers.insert((at, timer));
    }

    /// Removes a timer that was set for this time.
    pub fn cancel_timer(&mut self, at: Nanos, timer: Timer) {
        self.timers.remove(&(at, timer));
    }
}
