//! The host process of one [`Gateway`]: sockets, clock, signals and the settings file.

use crate::gateway::Gateway;
use crate::listeners::ListenerIds;
use crate::settings::{controller_seeds, inner_addr, max_connections};
use fernknot::interface::Nanos;
use fernknot_net::process::{Clock, ProcessError, ProcessorTimes, SettingsFile};
use fernknot_net::{EventLoop, EventLoopSettings, Signals};
use fernknot_schema::ProcessSettings;
use fernknot_telemetry::component;
use std::net::SocketAddrV4;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Maximum number of bytes that are read from a connection before the gateway consumes them.
const READ_AHEAD_BYTES: usize = 64 * 1024;
/// Maximum time that one poll waits for events: a signal that arrives just before the wait is noticed after it.
const MAX_WAIT: Nanos = Nanos(500_000_000);

/// A gateway with its sockets, clock, signal handlers and settings file.
pub struct Host {
    node_name: String,
    zone: String,
    settings_file: SettingsFile,
    event_loop: EventLoop,
    signals: Signals,
    clock: Clock,
    gateway: Gateway,
}

impl Host {
    /// Opens the listening sockets. `seed` must be different for each start and each machine.
    ///
    /// # Errors
    /// Fails if a required setting is missing, or if the operating system refuses a socket or signal handler.
    pub fn new(
        settings: ProcessSettings,
        settings_file: SettingsFile,
        seed: u64,
    ) -> Result<Host, ProcessError> {
        let mut event_loop =
            EventLoop::new(event_loop_settings(&settings)).map_err(ProcessError::system("poll"))?;
        let listeners = listen(&settings, &mut event_loop)?;
        let (node_name, zone) = (settings.node_name.clone(), settings.zone.clone());
        let clock = Clock::start();
        let mut gateway = Gateway::new(settings, listeners, seed)
            .map_err(|error| ProcessError::Settings(error.to_string()))?;
        gateway.set_processor_times_reader(ProcessorTimes::read);
        if let Ok(time) = SystemTime::now().duration_since(UNIX_EPOCH) {
            gateway.set_machine_time(clock.now(), time.as_millis() as u64);
        }
        let signals = Signals::install().map_err(ProcessError::system("watch for signals"))?;
        Ok(Host { node_name, zone, settings_file, event_loop, signals, clock, gateway })
    }

    /// Serves until a requested shutdown is complete.
    pub fn run(&mut self) {
        log::info!(target: component::PROCESS, "gateway {} is serving in zone {}", self.node_name, self.zone);
        let mut events = Vec::new();
        loop {
            self.event_loop.flush(&mut events);
            let written_at = self.clock.now();
            if self.gateway.has_unwritten_attempts() {
                self.gateway.output_written(written_at);
            }
            let wait = (self.gateway.next_wakeup() - written_at).min(MAX_WAIT);
            self.event_loop.wait(Some(Duration::from_nanos(wait.0)), &mut events);
            let now = self.clock.now();
            self.gateway.step(now, events.drain(..), &mut self.event_loop);
            self.handle_requests(now);
            if self.gateway.poll_shutdown(now, &mut self.event_loop) {
                // Sends the output of the last step.
                self.event_loop.poll(Some(Duration::ZERO), &mut events);
                log::info!(target: component::PROCESS, "shutdown complete");
                return;
            }
        }
    }

    /// Handles signals, and the gateway's requests to reload the seeds.
    fn handle_requests(&mut self, now: Nanos) {
        if self.signals.take_stop_request() {
            self.gateway.stop(now, &mut self.event_loop);
        }
        if self.signals.take_reload_request() {
            log::info!(target: component::SETTINGS, "reload signal received; reading the settings file again");
            self.reload_seeds();
        }
        if self.gateway.take_settings_reload_request() {
            self.reload_seeds();
        }
    }

    fn reload_seeds(&mut self) {
        if let Some(settings) = self.settings_file.reload() {
            self.gateway.set_seeds(&controller_seeds(&settings));
        }
    }
}

fn event_loop_settings(settings: &ProcessSettings) -> EventLoopSettings {
    EventLoopSettings {
        max_connections: max_connections(settings),
        read_ahead_bytes: READ_AHEAD_BYTES,
        unacknowledged_timeout: Duration::from_nanos((settings.bounds.apply_ms * 1e6) as u64),
    }
}

/// Opens the listening sockets at the addresses in the settings.
fn listen(settings: &ProcessSettings, event_loop: &mut EventLoop) -> Result<ListenerIds, ProcessError> {
    let required = |addr: Option<SocketAddrV4>, name: &str| {
        addr.ok_or_else(|| ProcessError::Settings(format!("bind_addrs.{name} is missing")))
    };
    let front = event_loop.listen(required(settings.bind_addrs.front_addr, "front_addr")?)?;
    let ready = event_loop.listen(required(settings.bind_addrs.ready_addr, "ready_addr")?)?;
    let inner_addr = inner_addr(settings);
    let inner = event_loop.listen(inner_addr)?;
    event_loop.listen_datagrams(inner_addr)?;
    Ok(ListenerIds { front, ready, inner })
}
