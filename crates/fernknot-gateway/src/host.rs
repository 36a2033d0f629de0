//! The program's host: sockets, clock, signals and the settings file around one [`Gateway`].

use crate::gateway::{Gateway, ListenerIds, controller_seeds, inner_addr, max_connections};
use fernknot::interface::Nanos;
use fernknot_net::{EventLoop, EventLoopSettings, NetError, Signals};
use fernknot_schema::ProcessSettings;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Bytes read ahead on one connection.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// The longest wait of one turn.
const MAX_WAIT: Nanos = Nanos(250_000_000);

/// Why the program can't run.
#[derive(Debug, Error)]
pub enum HostError {
    #[error("settings: {0}")]
    Settings(String),
    #[error("{step}: {why}")]
    System { step: &'static str, why: std::io::Error },
    #[error(transparent)]
    Network(#[from] NetError),
}

/// The program.
pub struct Host {
    node_name: String,
    zone: String,
    settings_path: PathBuf,
    event_loop: EventLoop,
    signals: Signals,
    started_at: Instant,
    gateway: Gateway,
}

impl Host {
    /// Listens. `seed` must differ from start to start and from machine to machine.
    ///
    /// # Errors
    /// Where the settings miss what a gateway needs, or the system refuses it.
    pub fn new(facts: ProcessSettings, path: PathBuf, seed: u64) -> Result<Host, HostError> {
        let system = |step| move |why| HostError::System { step, why };
        let silence = Duration::from_nanos((facts.bounds.apply_ms * 1e6) as u64);
        let mut dock = EventLoop::new(EventLoopSettings {
            max_connections: max_connections(&facts),
            read_ahead_bytes: READ_AHEAD_BYTES,
            unacknowledged_timeout: silence,
        })
        .map_err(system("poll"))?;
        let missing = |name: &str| HostError::Settings(format!("bind_addrs.{name} is missing"));
        let front = dock.listen(facts.bind_addrs.front_addr.ok_or_else(|| missing("front_addr"))?)?;
        let ready = dock.listen(facts.bind_addrs.ready_addr.ok_or_else(|| missing("ready_addr"))?)?;
        let inner = dock.listen(inner_addr(&facts))?;
        dock.listen_datagrams(inner_addr(&facts))?;
        let (name, zone) = (facts.node_name.clone(), facts.zone.clone());
        let brain =
            Gateway::new(facts, ListenerIds { front, ready, inner }, seed).map_err(HostError::Settings)?;
        let signals = Signals::install().map_err(system("watch for signals"))?;
        Ok(Host {
            node_name: name,
            zone,
            settings_path: path,
            event_loop: dock,
            signals,
            started_at: Instant::now(),
            gateway: brain,
        })
    }

    fn now(&self) -> Nanos {
        Nanos(self.started_at.elapsed().as_nanos() as u64)
    }

    /// Serves until the order to stop has been carried out.
    pub fn run(&mut self) {
        let mut events = Vec::new();
        log::info!(target: "gateway", "{} serves in {}", self.node_name, self.zone);
        loop {
            let wait = (self.gateway.next_wakeup() - self.now()).min(MAX_WAIT);
            self.event_loop.poll(Some(Duration::from_nanos(wait.0)), &mut events);
            let now = self.now();
            self.gateway.step(now, events.drain(..), &mut self.event_loop);
            if self.signals.take_stop_request() {
                self.gateway.stop(now, &mut self.event_loop);
            }
            if self.signals.take_reload_request() {
                log::info!(target: "gateway", "told that its settings changed");
                self.reload_seeds();
            }
            if self.gateway.take_settings_reload_request() {
                self.reload_seeds();
            }
            if self.gateway.poll_shutdown(now, &mut self.event_loop) {
                // What is written last has to be on its way.
                self.event_loop.poll(Some(Duration::ZERO), &mut events);
                log::info!(target: "gateway", "out");
                return;
            }
        }
    }

    fn reload_seeds(&mut self) {
        let Ok(bytes) = std::fs::read(&self.settings_path) else { return };
        match ProcessSettings::parse(&bytes) {
            Ok(facts) => self.gateway.set_seeds(&controller_seeds(&facts)),
            Err(faults) => faults
                .iter()
                .for_each(|fault| log::warn!(target: "settings", "{}: {}", fault.path, fault.reason)),
        }
    }
}
