//! Cluster of real controller and gateway processes on loopback. Each process has its own loopback address, so that all
//! processes of a role use the same ports. Processes end with the cluster, also when the parent process is killed.
//!
//! A cluster can mix programs of several releases. `FERNKNOT_CONTROLLER_PROGRAM` and `FERNKNOT_GATEWAY_PROGRAM` name the
//! programs for all processes of a role; a variable with a process number, such as `FERNKNOT_CONTROLLER_PROGRAM_0`, is for
//! that process only and takes precedence. For example, to run one old controller and one old gateway, given by absolute
//! paths, among new ones:
//!
//! ```text
//! FERNKNOT_CONTROLLER_PROGRAM_0=OLD_CONTROLLER FERNKNOT_GATEWAY_PROGRAM_1=OLD_GATEWAY \
//!     cargo test -p fernknot-testbed --test system
//! ```

mod error;
mod process;
mod role;
mod settings;
mod settings_file;

pub use error::ClusterError;
pub use role::{Role, find_program};
pub use settings::ClusterSettings;

use crate::http::{encode_request, exchange_once, is_ready};
use crate::load_balancer::GatewayAddrs;
use crate::usage::Usage;
use process::Process;
use rustix::process::Signal;
use settings_file::{CONTROL_PORT, FRONT_PORT, PEER_PORTS, READY_PORT, settings_file};
use std::net::{Ipv4Addr, SocketAddrV4};
use std::path::Path;
use std::process::ExitStatus;
use std::sync::atomic::{AtomicU32, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use tempfile::TempDir;

/// Last octets of addresses in a cluster's network, in this order: of the first controller, the first gateway, and the
/// address that all nodes share.
const FIRST_CONTROLLER_HOST: u8 = 1;
const FIRST_GATEWAY_HOST: u8 = 20;
const NODE_HOST: u8 = 250;
/// Number of loopback networks that the clusters started by one process use in turn.
const NETWORKS_PER_PROCESS: u32 = 5;
/// Number of processes whose clusters can have distinct networks; processes are told apart by their process ids modulo
/// this number.
const PROCESS_NETWORK_COUNT: u32 = 8192;
/// Maximum number of controllers that the settings name as seeds, the ones that a starting process contacts first.
const MAX_SEEDS: usize = 3;
/// Time between checks of an awaited condition.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Time-out for reading the counters of a gateway.
const COUNTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Number of clusters that this process has started.
static CLUSTER_COUNT: AtomicU32 = AtomicU32::new(0);

/// Returns the second and third octets of the next cluster's addresses. They differ between processes and clusters to
/// avoid port conflicts.
fn next_network() -> [u8; 2] {
    let cluster = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed) % NETWORKS_PER_PROCESS;
    let network = std::process::id() % PROCESS_NETWORK_COUNT + PROCESS_NETWORK_COUNT * cluster;
    [64 + (network / 256) as u8, (network % 256) as u8]
}

/// Polls `is_met` every 10 ms until it returns true. Returns the elapsed time.
///
/// # Errors
/// The condition is not met before the time-out; the error contains `condition`.
pub fn wait_until(
    condition: &str,
    timeout: Duration,
    mut is_met: impl FnMut() -> bool,
) -> Result<Duration, ClusterError> {
    let started_at = Instant::now();
    while !is_met() {
        if started_at.elapsed() > timeout {
            return Err(ClusterError::TimedOut {
                condition: condition.into(),
                seconds: timeout.as_secs_f64(),
            });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(started_at.elapsed())
}

/// Copies a directory recursively.
fn copy_directory(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_directory(&entry.path(), &target)?;
        } else {
            std::fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// Processes of a cluster, identified by role and number from 0 on.
pub struct Cluster {
    settings: ClusterSettings,
    network: [u8; 2],
    processes: Vec<Process>,
    /// Settings files and disks, deleted when the cluster is dropped.
    temp_dir: TempDir,
}

impl Cluster {
    /// Starts all processes without waiting for their readiness.
    ///
    /// # Errors
    /// A program is missing, or a file or process cannot be created.
    pub fn start(settings: ClusterSettings) -> Result<Cluster, ClusterError> {
        check_size(&settings)?;
        let temp_dir = TempDir::with_prefix("fernknot-testbed-")
            .map_err(ClusterError::from_io("create a directory for", "the cluster"))?;
        let mut cluster = Cluster { settings, network: next_network(), processes: Vec::new(), temp_dir };
        let controllers = (0..cluster.settings.controllers).map(|number| (Role::Controller, number));
        let gateways = (0..cluster.settings.gateways).map(|number| (Role::Gateway, number));
        for (role, number) in controllers.chain(gateways).collect::<Vec<_>>() {
            let process = cluster.create_process(role, number)?;
            cluster.write_settings(&process, true)?;
            cluster.processes.push(process);
        }
        for process in &mut cluster.processes {
            process.spawn(cluster.settings.log_filter)?;
        }
        Ok(cluster)
    }

    /// Creates a process without spawning it, and the data directory of a controller.
    fn create_process(&self, role: Role, number: usize) -> Result<Process, ClusterError> {
        let name = role.process_name(number);
        let to_error = ClusterError::from_io("create a directory for", "the cluster");
        let data_dir = (role == Role::Controller).then(|| self.temp_dir.path().join(format!("{name}-disk")));
        if let Some(data_dir) = &data_dir {
            std::fs::create_dir_all(data_dir).map_err(&to_error)?;
            if let Some(initial_disks) = &self.settings.initial_disks {
                copy_directory(&initial_disks.join((number + 1).to_string()), data_dir).map_err(&to_error)?;
            }
        }
        let settings_path = self.temp_dir.path().join(format!("{name}.json"));
        let (ip, program) = (self.process_ip(role, number), role.program_of(number)?);
        Ok(Process::new(role, name, ip, self.zone(number), program, settings_path, data_dir))
    }

    fn write_settings(&self, process: &Process, bootstrap: bool) -> Result<(), ClusterError> {
        let seeds: Vec<SocketAddrV4> = self.control_addrs().into_iter().take(MAX_SEEDS).collect();
        let zones = (0..self.settings.zones.max(1)).map(|zone| self.zone(zone)).collect();
        let settings = settings_file(process, &self.settings, &seeds, zones, bootstrap);
        std::fs::write(&process.settings_path, settings.to_string())
            .map_err(ClusterError::from_io("write the settings of", &process.name))
    }

    fn host_ip(&self, host: u8) -> Ipv4Addr {
        let [second, third] = self.network;
        Ipv4Addr::new(127, second, third, host)
    }

    fn process_ip(&self, role: Role, number: usize) -> Ipv4Addr {
        let first = if role == Role::Controller { FIRST_CONTROLLER_HOST } else { FIRST_GATEWAY_HOST };
        self.host_ip(first + number as u8)
    }

    /// Returns the zone of the process or node with this number.
    pub fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.settings.zones.max(1))
    }

    /// Returns the address that all nodes share.
    pub fn node_ip(&self) -> Ipv4Addr {
        self.host_ip(NODE_HOST)
    }

    /// Returns the settings that the cluster was started with.
    pub fn settings(&self) -> &ClusterSettings {
        &self.settings
    }

    /// Returns the addresses at which the controllers accept operators and nodes.
    pub fn control_addrs(&self) -> Vec<SocketAddrV4> {
        let addr = |number| SocketAddrV4::new(self.process_ip(Role::Controller, number), CONTROL_PORT);
        (0..self.settings.controllers).map(addr).collect()
    }

    /// Returns the address where a process accepts other controllers and gateways, and `fernknot show`.
    pub fn peer_addr(&self, role: Role, number: usize) -> SocketAddrV4 {
        let port = PEER_PORTS.0 + u16::from(role == Role::Controller);
        SocketAddrV4::new(self.process_ip(role, number), port)
    }

    /// Returns the addresses of all gateways.
    pub fn gateway_addrs(&self) -> Vec<GatewayAddrs> {
        let addrs = |number| {
            let ip = self.process_ip(Role::Gateway, number);
            let front = SocketAddrV4::new(ip, FRONT_PORT);
            GatewayAddrs { front, ready: SocketAddrV4::new(ip, READY_PORT) }
        };
        (0..self.settings.gateways).map(addrs).collect()
    }

    fn process_index(&self, role: Role, number: usize) -> usize {
        match role {
            Role::Controller => number,
            Role::Gateway => self.settings.controllers + number,
        }
    }

    fn process(&self, role: Role, number: usize) -> Option<&Process> {
        self.processes.get(self.process_index(role, number))
    }

    fn process_mut(&mut self, role: Role, number: usize) -> Result<&mut Process, ClusterError> {
        let index = self.process_index(role, number);
        let missing = || ClusterError::not_running("find", role.process_name(number));
        self.processes.get_mut(index).ok_or_else(missing)
    }

    /// Sends SIGKILL to a process, and waits until it has ended.
    ///
    /// # Errors
    /// The process is not running.
    pub fn kill(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        self.process_mut(role, number)?.kill()
    }

    /// Sends SIGTERM to a process. `exit_status` tells when it has ended.
    ///
    /// # Errors
    /// The process is not running.
    pub fn terminate(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        self.process_mut(role, number)?.signal(Signal::TERM)
    }

    /// Suspends a process (SIGSTOP). `resume` continues it.
    ///
    /// # Errors
    /// The process is not running.
    pub fn suspend(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        self.process_mut(role, number)?.signal(Signal::STOP)
    }

    /// Continues a suspended process (SIGCONT).
    ///
    /// # Errors
    /// The process is not running.
    pub fn resume(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        self.process_mut(role, number)?.signal(Signal::CONT)
    }

    /// Makes a process read its settings file again (SIGHUP).
    ///
    /// # Errors
    /// The process is not running.
    pub fn reload(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        self.process_mut(role, number)?.signal(Signal::HUP)
    }

    /// Returns the exit status of a process that has ended since the last call; none if it runs or was not started.
    pub fn exit_status(&mut self, role: Role, number: usize) -> Option<ExitStatus> {
        self.process_mut(role, number).ok()?.exit_status()
    }

    /// Restarts a process that has ended, with its old address and disk.
    ///
    /// # Errors
    /// The settings file or the process cannot be created.
    pub fn restart(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        let index = self.process_index(role, number);
        let log_filter = self.settings.log_filter;
        self.write_settings(&self.processes[index], false)?;
        self.processes[index].spawn(log_filter)
    }

    /// Returns the last lines of a process's log, at most 400.
    pub fn log_lines(&self, role: Role, number: usize) -> Vec<String> {
        self.process(role, number).map(Process::log_lines).unwrap_or_default()
    }

    /// Returns the last lines of all processes' logs, each after the process's name.
    pub fn all_log_lines(&self) -> Vec<String> {
        let lines = |process: &Process| -> Vec<String> {
            process.log_lines().iter().map(|line| format!("{}: {line}", process.name)).collect()
        };
        self.processes.iter().flat_map(lines).collect()
    }

    /// Returns the resource usage of a process; none if it is not running.
    pub fn usage(&self, role: Role, number: usize) -> Option<Usage> {
        Usage::of_process(self.process(role, number)?.id()?)
    }

    /// Returns the configuration version that a gateway reports; 0 if it has none.
    pub fn gateway_version(&self, number: usize) -> u64 {
        let epoch = self.gateway_counter(number, "config_epoch");
        // Gateways of earlier releases, which the environment may select, name this counter `version`.
        epoch.or_else(|| self.gateway_counter(number, "version")).unwrap_or(0)
    }

    /// Returns a counter of a gateway; none if it cannot be read.
    pub fn gateway_counter(&self, number: usize, name: &str) -> Option<u64> {
        let ready = self.gateway_addrs().get(number)?.ready;
        let headers = [format!("Host: {ready}"), "Connection: close".into()];
        let request = encode_request("GET", "/-/counters", &headers, b"");
        let response = exchange_once(ready, &request, COUNTER_TIMEOUT).ok()?;
        let text = String::from_utf8(response.body).ok()?;
        text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Waits until all controllers report readiness. Returns the elapsed time.
    ///
    /// # Errors
    /// The time-out passes first; the error contains the last log line of each process.
    pub fn await_controllers(&self, timeout: Duration) -> Result<Duration, ClusterError> {
        let addrs = self.control_addrs();
        wait_until("all controllers ready", timeout, || addrs.iter().all(|addr| is_ready(*addr)))
            .map_err(|error| self.with_logs(error))
    }

    /// Waits until all gateways report readiness. Returns the elapsed time.
    ///
    /// # Errors
    /// The time-out passes first; the error contains the last log line of each process.
    pub fn await_gateways(&self, timeout: Duration) -> Result<Duration, ClusterError> {
        let gateways = self.gateway_addrs();
        wait_until("all gateways ready", timeout, || gateways.iter().all(|addrs| is_ready(addrs.ready)))
            .map_err(|error| self.with_logs(error))
    }

    fn with_logs(&self, error: ClusterError) -> ClusterError {
        let ClusterError::TimedOut { condition, seconds } = error else { return error };
        let lines: String = self.processes.iter().map(Process::last_log_line).collect();
        ClusterError::TimedOut { condition: format!("{condition}{lines}"), seconds }
    }
}

fn check_size(settings: &ClusterSettings) -> Result<(), ClusterError> {
    let sizes = [
        (Role::Controller, settings.controllers, FIRST_GATEWAY_HOST - FIRST_CONTROLLER_HOST),
        (Role::Gateway, settings.gateways, NODE_HOST - FIRST_GATEWAY_HOST),
    ];
    for (role, count, max_count) in sizes {
        if count > usize::from(max_count) {
            return Err(ClusterError::TooManyProcesses { role: role.name(), count });
        }
    }
    Ok(())
}
