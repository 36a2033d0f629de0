//! The watch on discovery, over one connection at a time.

use crate::context::Context;
use crate::events::{Source, Timer};
use crate::nodes::Nodes;
use crate::tcp_connection::TcpConnection;
use calloop::Readiness;
use fernknot::interface::{ListKind, Nanos};
use fernknot_protocol::discovery::{NodeList, Watch, WatchUpdate, parse_list};
use slog::{info, warn};
use std::net::SocketAddr;

/// The watch on discovery.
pub struct Discovery {
    address: SocketAddr,
    connection: Option<TcpConnection>,
    watch: Watch,
    /// When the answer that is awaited is given up, or the next call is made.
    timer_at: Option<Nanos>,
    /// When the last call was made.
    last_call: Nanos,
    /// No call is open; the next one waits for its time.
    is_paused: bool,
    /// The wait after the next failure.
    backoff: Nanos,
}

impl Discovery {
    /// A watch that has made no call.
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address,
            connection: None,
            watch: Watch::default(),
            timer_at: None,
            last_call: Nanos(0),
            is_paused: true,
            backoff: Nanos(0),
        }
    }

    /// Takes the list as it was last known, and asks for the present one.
    pub fn start(&mut self, context: &mut Context, nodes: &mut Nodes, last_known_list: Option<&str>) {
        self.backoff = context.limits.initial_backoff;
        match last_known_list.map(|list| parse_list(list.as_bytes())) {
            Some(Ok(list)) if !list.nodes.is_empty() => {
                self.apply_list(context, nodes, NodeList { is_full: true, ..list });
            }
            Some(Err(error)) => {
                warn!(context.log, "the known list is not used"; "why" => error.to_string());
            }
            _ => {}
        }
        self.call(context);
    }

    /// Goes on at another address, from its whole list; the last one stays in use until then.
    pub fn change_address(&mut self, context: &mut Context, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.connection = None;
        self.watch = Watch::default();
        self.backoff = context.limits.initial_backoff;
        self.call(context);
    }

    fn set_timer(&mut self, context: &mut Context, after: Nanos) {
        let at = context.now + after;
        if let Some(old) = self.timer_at.replace(at) {
            context.cancel_timer(old, Timer::Discovery);
        }
        context.set_timer(at, Timer::Discovery);
    }

    fn call(&mut self, context: &mut Context) {
        if self.connection.is_none() {
            match TcpConnection::connect(&context.event_loop, self.address, Source::Discovery) {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => return self.call_failed(context, &error.to_string()),
            }
        }
        (self.last_call, self.is_paused) = (context.now, false);
        let Some(connection) = &mut self.connection else { return };
        let watch_wait = context.limits.watch_wait;
        let is_long_poll = self.watch.write_request(&mut connection.output, self.address, watch_wait);
        let wait = if is_long_poll { watch_wait } else { Nanos(0) };
        self.set_timer(context, wait + context.limits.watch_grace);
        self.flush(context);
    }

    fn flush(&mut self, context: &mut Context) {
        let Some(connection) = &mut self.connection else { return };
        // While the connection is being set up there is nothing to write to.
        let flushed = connection.connected().and_then(|is_up| if is_up { connection.flush() } else { Ok(0) });
        if let Err(error) = flushed {
            self.call_failed(context, &error.to_string());
        }
    }

    /// The event loop has found the connection ready.
    pub fn ready(&mut self, context: &mut Context, nodes: &mut Nodes, readiness: Readiness) {
        self.flush(context);
        let Some(connection) = &mut self.connection else { return };
        connection.is_readable |= readiness.readable;
        let filled = connection.fill(2 * context.limits.max_list_bytes);
        let has_ended = connection.has_ended;
        if self.is_paused {
            // Between calls the agent may close; the next one connects anew.
            if has_ended || filled.is_err() {
                self.connection = None;
            }
            return;
        }
        let update = self.watch.read(&mut connection.input, has_ended, &context.limits);
        match (update, filled) {
            (Ok(Some(WatchUpdate { list, keeps_connection })), _) => {
                if !keeps_connection || has_ended {
                    self.connection = None;
                }
                self.call_succeeded(context, nodes, list);
            }
            (Err(error), _) => self.call_failed(context, &error.to_string()),
            (Ok(None), Err(error)) => self.call_failed(context, &error.to_string()),
            (Ok(None), Ok(_)) if has_ended => self.call_failed(context, "answer cut off"),
            (Ok(None), Ok(_)) => {}
        }
    }

    fn call_succeeded(&mut self, context: &mut Context, nodes: &mut Nodes, list: NodeList) {
        self.backoff = context.limits.initial_backoff;
        self.apply_list(context, nodes, list);
        // Guards against calls without end should an agent not wait as it is asked to.
        let next_call = self.last_call + context.limits.min_watch_interval;
        if next_call > context.now {
            self.is_paused = true;
            self.set_timer(context, next_call - context.now);
        } else {
            self.call(context);
        }
    }

    /// The last list stays in use; calls go on after bounded waits.
    fn call_failed(&mut self, context: &mut Context, why: &str) {
        context.counters.list_calls_failed += 1;
        info!(context.log, "a call to discovery failed"; "why" => why.to_string());
        self.connection = None;
        self.is_paused = true;
        context.engine.node_list_lost(context.now);
        let wait = self.backoff;
        self.backoff = wait.times(2.0).min(context.limits.max_backoff);
        self.set_timer(context, wait);
    }

    /// The answer is late, or the wait before the next call is over.
    pub fn timer_due(&mut self, context: &mut Context) {
        self.timer_at = None;
        match self.is_paused {
            false => self.call_failed(context, "no answer in time"),
            true => self.call(context),
        }
    }

    fn apply_list(&mut self, context: &mut Context, nodes: &mut Nodes, list: NodeList) {
        for error in &list.rejected_entries {
            context.counters.list_entries_bad += 1;
            warn!(context.log, "an entry of the list is left out"; "why" => error.to_string());
        }
        let kind = if list.is_full { ListKind::Full } else { ListKind::Changes };
        match kind {
            ListKind::Full => context.counters.lists_full += 1,
            ListKind::Changes => context.counters.lists_changes += 1,
        }
        if list.is_full || !list.nodes.is_empty() {
            let entries = nodes.apply_list(context, &list);
            context.engine.apply_node_list(kind, &entries);
            info!(context.log, "listed";
                "generation" => list.generation, "full" => list.is_full, "nodes" => entries.len());
        }
        context.has_list |= list.is_full;
    }
}
