//! The watch on discovery, over one connection at a time.

use crate::core::Core;
use crate::ids::{Source, Timer};
use crate::link::Link;
use crate::nodes::Nodes;
use calloop::Readiness;
use fernknot::interface::*;
use fernknot_protocol::discovery::{self, NodeList, Watch, WatchUpdate};
use slog::{info, warn};
use std::net::SocketAddr;

pub struct Discovery {
    address: SocketAddr,
    link: Option<Link>,
    watch: Watch,
    /// When the answer that is awaited is given up, or the next call is made.
    due: Option<Nanos>,
    /// When the last call was made.
    asked: Nanos,
    /// The next call waits for its time.
    paused: bool,
    /// The wait after the next failure.
    retry: Nanos,
}

impl Discovery {
    pub fn new(address: SocketAddr) -> Discovery {
        Discovery {
            address,
            link: None,
            watch: Watch::default(),
            due: None,
            asked: Nanos(0),
            paused: true,
            retry: Nanos(0),
        }
    }

    /// Takes the list as it was last known, and asks for the present one.
    pub fn start_lists(&mut self, core: &mut Core, nodes: &mut Nodes, known: Option<&str>) {
        self.retry = core.limits.initial_backoff;
        match known.map(|known| discovery::parse_list(known.as_bytes())) {
            Some(Ok(list)) if !list.nodes.is_empty() => {
                self.listed(core, nodes, NodeList { is_full: true, ..list })
            }
            Some(Err(error)) => {
                warn!(core.log, "the known list is not used"; "why" => error.to_string());
            }
            _ => {}
        }
        self.ask_discovery(core);
    }

    /// Goes on at another address, from its whole list; the last one stays in use until then.
    pub fn move_discovery(&mut self, core: &mut Core, address: SocketAddr) {
        if address == self.address {
            return;
        }
        self.address = address;
        self.link = None;
        self.watch = Watch::default();
        self.retry = core.limits.initial_backoff;
        self.ask_discovery(core);
    }

    fn set_discovery_due(&mut self, core: &mut Core, after: Nanos) {
        let at = core.now + after;
        if let Some(set) = self.due.replace(at) {
            core.timers.remove(&(set, Timer::Discovery));
        }
        core.timers.insert((at, Timer::Discovery));
    }

    fn ask_discovery(&mut self, core: &mut Core) {
        if self.link.is_none() {
            match Link::connect(&core.handle, self.address, Source::Discovery) {
                Ok(link) => self.link = Some(link),
                Err(error) => return self.discovery_failed(core, &error.to_string()),
            }
        }
        (self.asked, self.paused) = (core.now, false);
        let Discovery { link, watch, address, .. } = self;
        let Some(link) = link else { return };
        let waits = watch.write_request(&mut link.output, *address, core.limits.watch_wait);
        let wait = if waits { core.limits.watch_wait } else { Nanos(0) };
        self.set_discovery_due(core, wait + core.limits.watch_grace);
        self.flush_discovery(core);
    }

    fn flush_discovery(&mut self, core: &mut Core) {
        let Some(link) = &mut self.link else { return };
        // While the connection is still coming there is nothing to write to.
        let flushed = link.connected().and_then(|up| if up { link.flush() } else { Ok(0) });
        if let Err(error) = flushed {
            self.discovery_failed(core, &error.to_string());
        }
    }

    pub fn discovery_ready(&mut self, core: &mut Core, nodes: &mut Nodes, readiness: Readiness) {
        self.flush_discovery(core);
        let Some(link) = &mut self.link else { return };
        link.readable |= readiness.readable;
        let filled = link.fill(2 * core.limits.max_list_bytes);
        let ended = link.ended;
        if self.paused {
            // Between calls the agent may close; the next one connects anew.
            if ended || filled.is_err() {
                self.link = None;
            }
            return;
        }
        let read = self.watch.read(&mut link.input, ended, &core.limits);
        match (read, filled) {
            (Ok(Some(WatchUpdate { list, keeps_connection })), _) => {
                if !keeps_connection || ended {
                    self.link = None;
                }
                self.retry = core.limits.initial_backoff;
                self.listed(core, nodes, list);
                // Guards against calls without end should an agent not wait as it is asked to.
                let next = self.asked + core.limits.min_watch_interval;
                if next > core.now {
                    self.paused = true;
                    self.set_discovery_due(core, next - core.now);
                } else {
                    self.ask_discovery(core);
                }
            }
            (Err(error), _) => self.discovery_failed(core, &error.to_string()),
            (Ok(None), Err(error)) => self.discovery_failed(core, &error.to_string()),
            (Ok(None), Ok(_)) if ended => self.discovery_failed(core, "answer cut off"),
            (Ok(None), Ok(_)) => {}
        }
    }

    /// The last list stays in use; calls go on at bounded waits.
    fn discovery_failed(&mut self, core: &mut Core, why: &str) {
        core.counters.list_calls_failed += 1;
        info!(core.log, "a call to discovery failed"; "why" => why.to_string());
        self.link = None;
        self.paused = true;
        core.engine.list_lost(core.now);
        let wait = self.retry;
        self.retry = wait.times(2.0).min(core.limits.max_backoff);
        self.set_discovery_due(core, wait);
    }

    pub fn discovery_due(&mut self, core: &mut Core) {
        self.due = None;
        match self.paused {
            false => self.discovery_failed(core, "no answer in time"),
            true => self.ask_discovery(core),
        }
    }

    fn listed(&mut self, core: &mut Core, nodes: &mut Nodes, list: NodeList) {
        for why in &list.rejected_entries {
            core.counters.list_entries_bad += 1;
            warn!(core.log, "an entry of the list is left out"; "why" => why.to_string());
        }
        let kind = if list.is_full { ListKind::Full } else { ListKind::Changes };
        match kind {
            ListKind::Full => core.counters.lists_full += 1,
            ListKind::Changes => core.counters.lists_changes += 1,
        }
        if list.is_full || !list.nodes.is_empty() {
            let entries = nodes.note_nodes(core, &list);
            core.engine.list(kind, &entries);
            info!(core.log, "listed"; "generation" => list.generation, "full" => list.is_full, "nodes" => entries.len());
        }
        core.has_list |= list.is_full;
    }
}
