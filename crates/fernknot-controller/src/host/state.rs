//! State of the host, and its construction.

use crate::controller::Controller;
use crate::disk::Disk;
use crate::host::connections::Connections;
use crate::host::limits::HostLimits;
use crate::host::settings::{
    check_settings, contact_timeout, controller_settings, duration, settings_check_interval,
};
use crate::settings::ControllerSettings;
use fernknot::interface::Nanos;
use fernknot_http_api::HttpServerSettings;
use fernknot_net::process::{Clock, ProcessError, SettingsFile};
use fernknot_net::{ConnectionId, EventLoop, EventLoopSettings, Signals};
use fernknot_peer_sampling::{PeerDescriptor, Role};
use fernknot_rpc::ShuffleProtocol;
use fernknot_schema::{DigestKey, ProcessSettings};
use fernknot_telemetry::component;
use std::net::SocketAddrV4;

/// Period at which this process exchanges a sample of the processes that it knows with another one, in contact
/// timeouts; the same as on gateways.
const SHUFFLE_PERIOD_CONTACT_TIMEOUTS: f64 = 2.0;
/// Age of a pending write above which the disk is unhealthy, as a share of the apply deadline.
const WRITE_TIMEOUT_SHARE: f64 = 1.0 / 6.0;

/// Host of one controller: its sockets, clock, signals and disk.
pub struct Host {
    pub(super) settings: ProcessSettings,
    pub(super) settings_file: SettingsFile,
    pub(super) next_settings_check: Nanos,
    pub(super) limits: HostLimits,
    pub(super) http_settings: HttpServerSettings,
    pub(super) clock: Clock,
    pub(super) event_loop: EventLoop,
    pub(super) signals: Signals,
    pub(super) control_listener: ConnectionId,
    pub(super) internal_listener: ConnectionId,
    pub(super) connections: Connections,
    pub(super) controller: Controller,
    pub(super) disk: Disk,
    pub(super) shuffle: ShuffleProtocol,
    pub(super) next_sweep: Nanos,
    /// Time at which a requested stop ends the process, whatever is pending; None before a stop is requested.
    pub(super) shutdown_deadline: Option<Nanos>,
}

fn shuffle_protocol(settings: &ControllerSettings) -> ShuffleProtocol {
    let own = PeerDescriptor {
        addr: settings.addr,
        role: Role::Controller,
        zone: settings.zone.clone(),
        incarnation: settings.seed,
        age_ms: 0,
    };
    let period = settings.contact_timeout.times(SHUFFLE_PERIOD_CONTACT_TIMEOUTS);
    ShuffleProtocol::new(own, &settings.seeds, period, settings.seed)
}

fn event_loop_settings(limits: &HostLimits, settings: &ControllerSettings) -> EventLoopSettings {
    EventLoopSettings {
        max_connections: limits.max_connections,
        read_ahead_bytes: limits.read_ahead_bytes(),
        unacknowledged_timeout: duration(settings.suspicion_timeout()),
    }
}

/// Returns the address for calls of nodes and operators, which checked settings contain.
fn control_addr(settings: &ProcessSettings) -> SocketAddrV4 {
    settings.bind_addrs.control_addr.unwrap_or(SocketAddrV4::new(settings.ip, 0))
}

fn http_settings(
    settings: &ProcessSettings,
    limits: &HostLimits,
) -> Result<HttpServerSettings, ProcessError> {
    let memory_mb = settings.limits.memory_mb;
    HttpServerSettings::new(limits.max_connections, memory_mb, limits.max_config_bytes)
        .map_err(|error| ProcessError::Settings(error.to_string()))
}

fn open_disk(settings: &ProcessSettings, event_loop: &EventLoop) -> Disk {
    let apply_deadline = Nanos::from_millis(settings.bounds.apply_ms);
    let write_timeout = duration(apply_deadline.times(WRITE_TIMEOUT_SHARE));
    let disk_bytes = (settings.limits.disk_mb * (1 << 20) as f64) as u64;
    Disk::open(settings.data_dir.clone(), disk_bytes, write_timeout, event_loop.waker())
}

impl Host {
    /// Opens the listeners and starts to read the disk. `settings` are those of `settings_file`; `seed` must differ
    /// between any two starts, on any machines. `digest_key` is the secret of the digests of the tenants' keys.
    ///
    /// # Errors
    /// If the settings lack something that a controller needs, or a system call fails.
    pub fn new(
        settings: ProcessSettings,
        settings_file: SettingsFile,
        seed: u64,
        digest_key: DigestKey,
    ) -> Result<Host, ProcessError> {
        check_settings(&settings).map_err(|unsuitable| ProcessError::Settings(unsuitable.to_string()))?;
        let signals = Signals::install().map_err(ProcessError::system("watch for signals"))?;
        let limits = HostLimits::new(&settings);
        let controller_settings = controller_settings(&settings, seed, digest_key);
        let loop_settings = event_loop_settings(&limits, &controller_settings);
        let mut event_loop = EventLoop::new(loop_settings).map_err(ProcessError::system("poll"))?;
        let control_listener = event_loop.listen(control_addr(&settings))?;
        let internal_listener = event_loop.listen(controller_settings.addr)?;
        event_loop.listen_datagrams(controller_settings.addr)?;
        let mut host = Host {
            http_settings: http_settings(&settings, &limits)?,
            shuffle: shuffle_protocol(&controller_settings),
            disk: open_disk(&settings, &event_loop),
            clock: Clock::start(),
            next_settings_check: settings_check_interval(&settings),
            next_sweep: contact_timeout(&settings),
            controller: Controller::new(controller_settings, Nanos(0)),
            connections: Connections::default(),
            shutdown_deadline: None,
            settings,
            settings_file,
            limits,
            event_loop,
            signals,
            control_listener,
            internal_listener,
        };
        host.start_without_disk();
        Ok(host)
    }

    fn start_without_disk(&mut self) {
        if self.disk.is_absent() {
            log::warn!(
                target: component::STORAGE,
                "no data directory is configured; the control state is lost when the process ends"
            );
            self.controller.disk_loaded(Nanos(0), None, &[], true);
        }
    }

    /// Returns the time since the start of the host, which all inputs of the controller carry.
    pub(super) fn now(&self) -> Nanos {
        self.clock.now()
    }

    /// Closes a connection without notifying the controller.
    pub(super) fn drop_connection(&mut self, id: ConnectionId) {
        self.connections.remove(id);
        self.event_loop.close(id);
    }
}
