//! The program's host: sockets, clock, signals and the settings file around one [`Gateway`].

use crate::gateway::{Gateway, ListenerIds, inner_addr, links, seeds};
use fernknot::interface::Nanos;
use fernknot_net::{EventLoop, EventLoopSettings, NetError, Signals};
use fernknot_schema::ProcessSettings;
use std::path::PathBuf;
use std::time::{Duration, Instant};
use thiserror::Error;

/// Bytes read ahead on one connection.
const AHEAD: usize = 64 * 1024;
/// The longest wait of one turn.
const LONGEST: Nanos = Nanos(250_000_000);

/// Why the program can't run.
#[derive(Debug, Error)]
pub enum HostError {
    #[error("settings: {0}")]
    Facts(String),
    #[error("{step}: {why}")]
    System { step: &'static str, why: std::io::Error },
    #[error(transparent)]
    Net(#[from] NetError),
}

/// The program.
pub struct Host {
    name: String,
    zone: String,
    path: PathBuf,
    dock: EventLoop,
    signals: Signals,
    start: Instant,
    brain: Gateway,
}

impl Host {
    /// Listens. `seed` must differ from start to start and from machine to machine.
    ///
    /// # Errors
    /// Where the settings miss what a gateway needs, or the system refuses it.
    pub fn new(facts: ProcessSettings, path: PathBuf, seed: u64) -> Result<Host, HostError> {
        let system = |step| move |why| HostError::System { step, why };
        let silence = Duration::from_nanos((facts.bounds.apply_ms * 1e6) as u64);
        let mut dock = EventLoop::new(EventLoopSettings { links: links(&facts), ahead: AHEAD, silence })
            .map_err(system("poll"))?;
        let missing = |name: &str| HostError::Facts(format!("bind_addrs.{name} is missing"));
        let front = dock.listen(facts.bind_addrs.front_addr.ok_or_else(|| missing("front_addr"))?)?;
        let ready = dock.listen(facts.bind_addrs.ready_addr.ok_or_else(|| missing("ready_addr"))?)?;
        let inner = dock.listen(inner_addr(&facts))?;
        dock.listen_datagrams(inner_addr(&facts))?;
        let (name, zone) = (facts.node_name.clone(), facts.zone.clone());
        let brain =
            Gateway::new(facts, ListenerIds { front, ready, inner }, seed).map_err(HostError::Facts)?;
        let signals = Signals::watch().map_err(system("watch for signals"))?;
        Ok(Host { name, zone, path, dock, signals, start: Instant::now(), brain })
    }

    fn now(&self) -> Nanos {
        Nanos(self.start.elapsed().as_nanos() as u64)
    }

    /// Serves until the order to stop has been carried out.
    pub fn run(&mut self) {
        let mut events = Vec::new();
        log::info!(target: "gateway", "{} serves in {}", self.name, self.zone);
        loop {
            let wait = (self.brain.due() - self.now()).min(LONGEST);
            self.dock.turn(Some(Duration::from_nanos(wait.0)), &mut events);
            let now = self.now();
            self.brain.turn(now, events.drain(..), &mut self.dock);
            if self.signals.stop() {
                self.brain.stop(now, &mut self.dock);
            }
            if self.signals.changed() {
                log::info!(target: "gateway", "told that its settings changed");
                self.reread();
            }
            if self.brain.wants_seeds() {
                self.reread();
            }
            if self.brain.is_out(now, &mut self.dock) {
                // What is written last has to be on its way.
                self.dock.turn(Some(Duration::ZERO), &mut events);
                log::info!(target: "gateway", "out");
                return;
            }
        }
    }

    fn reread(&mut self) {
        let Ok(bytes) = std::fs::read(&self.path) else { return };
        match ProcessSettings::read(&bytes) {
            Ok(facts) => self.brain.seeds(&seeds(&facts)),
            Err(faults) => faults
                .iter()
                .for_each(|fault| log::warn!(target: "settings", "{}: {}", fault.place, fault.why)),
        }
    }
}
