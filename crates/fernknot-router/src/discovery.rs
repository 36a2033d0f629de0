//! Client of discovery, the service that provides the list of data nodes: watches the list over one connection at a
//! time.

use crate::context::Context;
use crate::events::{Source, Timer};
use crate::nodes::Nodes;
use crate::tcp_connection::TcpConnection;
use calloop::Readiness;
use fernknot::interface::{ListKind, Nanos};
use fernknot_protocol::discovery::{NodeList, Watch, WatchUpdate, parse_list};
use slog::{info, warn};
use std::net::SocketAddr;

/// Client of discovery.
pub struct Discovery {
    address: SocketAddr,
    connection: Option<TcpConnection>,
    watch: Watch,
    /// Time at which the pending call times out, or the next call is made.
    timer_at: Option<Nanos>,
    /// Time of the last call.
    last_call: Nanos,
    /// Whether no call is pending and the next one waits for the timer.
    is_between_calls: bool,
    /// Delay after the next failure.
    backoff: Nanos,
}

impl Discovery {
    /// Creates a client that has not made a call.
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address,
            connection: None,
            watch: Watch::default(),
            timer_at: None,
            last_call: Nanos(0),
            is_between_calls: true,
            backoff: Nanos(0),
        }
    }

    /// Applies the last known list that the configuration contains, if any, and requests the current one.
    pub fn start(&mut self, context: &mut Context, nodes: &mut Nodes, last_known_list: Option<&str>) {
        self.backoff = context.limits.initial_backoff;
        match last_known_list.map(|list| parse_list(list.as_bytes())) {
            Some(Ok(list)) if !list.nodes.is_empty() => {
                self.apply_list(context, nodes, NodeList { is_full: true, ..list });
            }
            Some(Err(error)) => {
                warn!(context.log, "cannot parse the last known node list; starting without it";
                    "why" => error.to_string());
            }
            _ => {}
        }
        self.send_call(context);
    }

    /// Changes the address of discovery, and requests the full list there. The current list stays in use until the
    /// answer.
    pub fn change_address(&mut self, context: &mut Context, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.connection = None;
        self.watch = Watch::default();
        self.backoff = context.limits.initial_backoff;
        self.send_call(context);
    }

    fn set_timer(&mut self, context: &mut Context, after: Nanos) {
        let at = context.now + after;
        if let Some(old) = self.timer_at.replace(at) {
            context.cancel_timer(old, Timer::Discovery);
        }
        context.set_timer(at, Timer::Discovery);
    }

    fn send_call(&mut self, context: &mut Context) {
        if self.connection.is_none() {
            match TcpConnection::connect(&context.event_loop, self.address, Source::Discovery) {
                Ok(connection) => self.connection = Some(connection),
                Err(error) => return self.call_failed(context, &error.to_string()),
            }
        }
        (self.last_call, self.is_between_calls) = (context.now, false);
        let Some(connection) = &mut self.connection else { return };
        let watch_wait = context.limits.watch_wait;
        let is_long_poll = self.watch.write_request(&mut connection.output, self.address, watch_wait);
        let wait = if is_long_poll { watch_wait } else { Nanos(0) };
        self.set_timer(context, wait + context.limits.watch_grace);
        self.flush(context);
    }

    fn flush(&mut self, context: &mut Context) {
        let Some(connection) = &mut self.connection else { return };
        // Writes are possible only once the connection is established.
        let flushed = connection
            .check_connected()
            .and_then(|is_connected| if is_connected { connection.flush() } else { Ok(0) });
        if let Err(error) = flushed {
            self.call_failed(context, &error.to_string());
        }
    }

    /// Handles the readiness of the connection.
    pub fn ready(&mut self, context: &mut Context, nodes: &mut Nodes, readiness: Readiness) {
        self.flush(context);
        let Some(connection) = &mut self.connection else { return };
        connection.is_readable |= readiness.readable;
        let filled = connection.fill(2 * context.limits.max_list_bytes);
        let read_closed = connection.read_closed;
        if self.is_between_calls {
            // Discovery may close the connection between calls; the next call opens a new one.
            if read_closed || filled.is_err() {
                self.connection = None;
            }
            return;
        }
        let update = self.watch.read(&mut connection.input, read_closed, &context.limits);
        match (update, filled) {
            (Ok(Some(WatchUpdate { list, keeps_connection })), _) => {
                if !keeps_connection || read_closed {
                    self.connection = None;
                }
                self.call_succeeded(context, nodes, list);
            }
            (Err(error), _) => self.call_failed(context, &error.to_string()),
            (Ok(None), Err(error)) => self.call_failed(context, &error.to_string()),
            (Ok(None), Ok(_)) if read_closed => {
                self.call_failed(context, "connection closed before the answer was complete")
            }
            (Ok(None), Ok(_)) => {}
        }
    }

    fn call_succeeded(&mut self, context: &mut Context, nodes: &mut Nodes, list: NodeList) {
        self.backoff = context.limits.initial_backoff;
        self.apply_list(context, nodes, list);
        // If discovery answers without waiting for a change, the minimum interval avoids calls in a tight loop.
        let next_call = self.last_call + context.limits.min_watch_interval;
        if next_call > context.now {
            self.is_between_calls = true;
            self.set_timer(context, next_call - context.now);
        } else {
            self.send_call(context);
        }
    }

    /// Handles a failed call: the current list stays in use, and the next call follows after the backoff.
    fn call_failed(&mut self, context: &mut Context, reason: &str) {
        context.counters.list_calls_failed += 1;
        info!(context.log, "call to discovery failed; keeping the current node list and retrying";
            "why" => reason.to_string());
        self.connection = None;
        self.is_between_calls = true;
        context.engine.node_list_lost(context.now);
        let wait = self.backoff;
        self.backoff = wait.times(2.0).min(context.limits.max_backoff);
        self.set_timer(context, wait);
    }

    /// Handles the timer: the pending call has timed out, or the next call is due.
    pub fn timer_due(&mut self, context: &mut Context) {
        self.timer_at = None;
        match self.is_between_calls {
            false => self.call_failed(context, "no answer within the time-out"),
            true => self.send_call(context),
        }
    }

    fn apply_list(&mut self, context: &mut Context, nodes: &mut Nodes, list: NodeList) {
        for error in &list.rejected_entries {
            context.counters.list_entries_bad += 1;
            warn!(context.log, "ignoring an invalid entry of the node list"; "why" => error.to_string());
        }
        let kind = if list.is_full { ListKind::Full } else { ListKind::Changes };
        match kind {
            ListKind::Full => context.counters.lists_full += 1,
            ListKind::Changes => context.counters.lists_changes += 1,
        }
        if list.is_full || !list.nodes.is_empty() {
            let entries = nodes.apply_list(context, &list);
            context.engine.apply_node_list(kind, &entries);
            info!(context.log, "applied a node list";
                "generation" => list.generation, "full" => list.is_full, "nodes" => entries.len());
        }
        context.has_full_list |= list.is_full;
    }
}
