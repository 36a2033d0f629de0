//! A cluster of the real programs on loopback: each machine is an address of its own, so that ports are alike everywhere
//! and two processes share none. What a cluster has started ends with it, also when the process that started it is killed.
//!
//! Programs of another release can run among those of this one. `FERNKNOT_CONTROLLER_PROGRAM` and
//! `FERNKNOT_GATEWAY_PROGRAM` name programs to be started for all processes of a role; with a number behind it, as in
//! `FERNKNOT_CONTROLLER_PROGRAM_0`, for that process only, which then goes first. So one old controller and one old
//! gateway, named by absolute paths, run among new ones with
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

/// Hosts of a cluster's network: controllers from the first, gateways from the second, all nodes at the last.
const FIRST_CONTROLLER_HOST: u8 = 1;
const FIRST_GATEWAY_HOST: u8 = 20;
const NODE_HOST: u8 = 250;
/// Networks of the clusters of one process.
const NETWORKS_PER_PROCESS: u32 = 5;
/// Networks from which those of processes are chosen.
const PROCESS_NETWORKS: u32 = 8192;
/// Controllers that the settings name as seeds.
const SEEDS: usize = 3;
/// How often a condition is looked at.
const POLL_INTERVAL: Duration = Duration::from_millis(10);
/// A gateway that does not answer for so long has no counters.
const COUNTER_TIMEOUT: Duration = Duration::from_secs(1);

/// Clusters that this process has started.
static CLUSTER_COUNT: AtomicU32 = AtomicU32::new(0);

/// The first two octets that differ between networks of loopback: each process and cluster has its own, so that no two
/// ever ask for one port.
fn next_network() -> [u8; 2] {
    let cluster = CLUSTER_COUNT.fetch_add(1, Ordering::Relaxed) % NETWORKS_PER_PROCESS;
    let network = std::process::id() % PROCESS_NETWORKS + PROCESS_NETWORKS * cluster;
    [64 + (network / 256) as u8, (network % 256) as u8]
}

/// Looks until something holds; how long that took.
///
/// # Errors
/// It did not hold within the time; `what` says what was awaited.
pub fn wait_until(
    what: &str,
    timeout: Duration,
    mut holds: impl FnMut() -> bool,
) -> Result<Duration, ClusterError> {
    let started_at = Instant::now();
    while !holds() {
        if started_at.elapsed() > timeout {
            return Err(ClusterError::TimedOut { what: what.into(), seconds: timeout.as_secs_f64() });
        }
        thread::sleep(POLL_INTERVAL);
    }
    Ok(started_at.elapsed())
}

/// Copies a folder and all that is in it.
fn copy_folder(from: &Path, to: &Path) -> std::io::Result<()> {
    std::fs::create_dir_all(to)?;
    for entry in std::fs::read_dir(from)? {
        let entry = entry?;
        let target = to.join(entry.file_name());
        if entry.file_type()?.is_dir() {
            copy_folder(&entry.path(), &target)?;
        } else {
            std::fs::copy(entry.path(), target)?;
        }
    }
    Ok(())
}

/// Running processes. They go by their role and number, from 0 on.
pub struct Cluster {
    settings: ClusterSettings,
    network: [u8; 2],
    processes: Vec<Process>,
    /// Gone with the cluster, disks and all.
    temp_dir: TempDir,
}

impl Cluster {
    /// Starts all processes; none need be ready yet.
    ///
    /// # Errors
    /// A program is missing, or the system refuses a file or a process.
    pub fn start(settings: ClusterSettings) -> Result<Cluster, ClusterError> {
        check_size(&settings)?;
        let temp_dir = TempDir::with_prefix("fernknot-testbed-")
            .map_err(ClusterError::at("make a folder for", "the cluster"))?;
        let mut cluster = Cluster { settings, network: next_network(), processes: Vec::new(), temp_dir };
        let controllers = (0..cluster.settings.controllers).map(|number| (Role::Controller, number));
        let gateways = (0..cluster.settings.gateways).map(|number| (Role::Gateway, number));
        for (role, number) in controllers.chain(gateways).collect::<Vec<_>>() {
            let process = cluster.prepare(role, number)?;
            cluster.write_settings(&process, true)?;
            cluster.processes.push(process);
        }
        for process in &mut cluster.processes {
            process.spawn(cluster.settings.log_filter)?;
        }
        Ok(cluster)
    }

    /// A process that does not run yet, with a folder for its disk if it has one.
    fn prepare(&self, role: Role, number: usize) -> Result<Process, ClusterError> {
        let name = role.process_name(number);
        let failed = ClusterError::at("make a folder for", "the cluster");
        let data_dir = (role == Role::Controller).then(|| self.temp_dir.path().join(format!("{name}-disk")));
        if let Some(data_dir) = &data_dir {
            std::fs::create_dir_all(data_dir).map_err(&failed)?;
            if let Some(disks) = &self.settings.disks {
                copy_folder(&disks.join((number + 1).to_string()), data_dir).map_err(&failed)?;
            }
        }
        let settings_path = self.temp_dir.path().join(format!("{name}.json"));
        let (ip, program) = (self.process_ip(role, number), role.program_of(number)?);
        Ok(Process::new(role, name, ip, self.zone(number), program, settings_path, data_dir))
    }

    fn write_settings(&self, process: &Process, bootstrap: bool) -> Result<(), ClusterError> {
        let seeds: Vec<SocketAddrV4> = self.control_addrs().into_iter().take(SEEDS).collect();
        let zones = (0..self.settings.zones.max(1)).map(|zone| self.zone(zone)).collect();
        let settings = settings_file(process, &self.settings, &seeds, zones, bootstrap);
        std::fs::write(&process.settings_path, settings.to_string())
            .map_err(ClusterError::at("write the settings of", &process.name))
    }

    fn host_ip(&self, host: u8) -> Ipv4Addr {
        let [second, third] = self.network;
        Ipv4Addr::new(127, second, third, host)
    }

    fn process_ip(&self, role: Role, number: usize) -> Ipv4Addr {
        let first = if role == Role::Controller { FIRST_CONTROLLER_HOST } else { FIRST_GATEWAY_HOST };
        self.host_ip(first + number as u8)
    }

    /// The zone of the process or node with this number.
    pub fn zone(&self, number: usize) -> String {
        format!("zone-{}", number % self.settings.zones.max(1))
    }

    /// The address of all nodes.
    pub fn node_ip(&self) -> Ipv4Addr {
        self.host_ip(NODE_HOST)
    }

    /// What was started.
    pub fn settings(&self) -> &ClusterSettings {
        &self.settings
    }

    /// Control addresses of all controllers.
    pub fn control_addrs(&self) -> Vec<SocketAddrV4> {
        let addr = |number| SocketAddrV4::new(self.process_ip(Role::Controller, number), CONTROL_PORT);
        (0..self.settings.controllers).map(addr).collect()
    }

    /// Where a process is asked by the others, and by `fernknot show`.
    pub fn peer_addr(&self, role: Role, number: usize) -> SocketAddrV4 {
        let port = PEER_PORTS.0 + u16::from(role == Role::Controller);
        SocketAddrV4::new(self.process_ip(role, number), port)
    }

    /// Addresses of all gateways.
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

    /// SIGKILL, and waits for its end.
    ///
    /// # Errors
    /// It does not run.
    pub fn kill(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        self.process_mut(role, number)?.kill()
    }

    /// SIGTERM; `exit_status` says when it is out.
    ///
    /// # Errors
    /// It does not run.
    pub fn terminate(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        self.process_mut(role, number)?.signal(Signal::TERM)
    }

    /// How a process ended, if it has.
    pub fn exit_status(&mut self, role: Role, number: usize) -> Option<ExitStatus> {
        self.process_mut(role, number).ok()?.exit_status()
    }

    /// Starts a process again that has ended, at its old address and with its disk.
    ///
    /// # Errors
    /// The system refuses.
    pub fn restart(&mut self, role: Role, number: usize) -> Result<(), ClusterError> {
        let index = self.process_index(role, number);
        let log_filter = self.settings.log_filter;
        self.write_settings(&self.processes[index], false)?;
        self.processes[index].spawn(log_filter)
    }

    /// The last lines of a process' log.
    pub fn log_lines(&self, role: Role, number: usize) -> Vec<String> {
        self.process(role, number).map(Process::log_lines).unwrap_or_default()
    }

    /// What a process costs so far; none where it does not run.
    pub fn usage(&self, role: Role, number: usize) -> Option<Usage> {
        Usage::of_process(self.process(role, number)?.id()?)
    }

    /// The version that a gateway says it has; 0 for none.
    pub fn gateway_version(&self, number: usize) -> u64 {
        self.gateway_counter(number, "version").unwrap_or(0)
    }

    /// A counter of a gateway.
    pub fn gateway_counter(&self, number: usize, name: &str) -> Option<u64> {
        let ready = self.gateway_addrs().get(number)?.ready;
        let headers = [format!("Host: {ready}"), "Connection: close".into()];
        let request = encode_request("GET", "/-/counters", &headers, b"");
        let response = exchange_once(ready, &request, COUNTER_TIMEOUT).ok()?;
        let text = String::from_utf8(response.body).ok()?;
        text.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' ')?.parse().ok())
    }

    /// Waits until all controllers say that they are ready; how long that took.
    ///
    /// # Errors
    /// One is not in time; the error has the last line of each log.
    pub fn await_controllers(&self, timeout: Duration) -> Result<Duration, ClusterError> {
        let addrs = self.control_addrs();
        wait_until("all controllers ready", timeout, || addrs.iter().all(|addr| is_ready(*addr)))
            .map_err(|error| self.with_logs(error))
    }

    /// Waits until all gateways say that they are ready; how long that took.
    ///
    /// # Errors
    /// One is not in time; the error has the last line of each log.
    pub fn await_gateways(&self, timeout: Duration) -> Result<Duration, ClusterError> {
        let gateways = self.gateway_addrs();
        wait_until("all gateways ready", timeout, || gateways.iter().all(|addrs| is_ready(addrs.ready)))
            .map_err(|error| self.with_logs(error))
    }

    fn with_logs(&self, error: ClusterError) -> ClusterError {
        let ClusterError::TimedOut { what, seconds } = error else { return error };
        let lines: String = self.processes.iter().map(Process::last_log_line).collect();
        ClusterError::TimedOut { what: format!("{what}{lines}"), seconds }
    }
}

fn check_size(settings: &ClusterSettings) -> Result<(), ClusterError> {
    let sizes = [
        (Role::Controller, settings.controllers, FIRST_GATEWAY_HOST - FIRST_CONTROLLER_HOST),
        (Role::Gateway, settings.gateways, NODE_HOST - FIRST_GATEWAY_HOST),
    ];
    for (role, count, room) in sizes {
        if count > usize::from(room) {
            return Err(ClusterError::TooManyProcesses { role: role.name(), count });
        }
    }
    Ok(())
}
