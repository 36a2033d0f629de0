//! One router: its process, its configuration, its stand-in of discovery and its relays to the stores.

use crate::connection_relay::{ConnectionMode, ConnectionRelay};
use crate::error::FaultTestError;
use fernknot_stand_in::{DataNode, Discovery};
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use serde_json::Value;
use std::io::Result as IoResult;
use std::net::SocketAddr;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, Stdio};

/// Shards that the stores of the example configuration share.
const SHARDS: u32 = 2;
const PROGRAM: &str = "fernknot-router";

/// The router's program, which is built beside this one.
pub(crate) fn router_program() -> Result<PathBuf, FaultTestError> {
    let own = std::env::current_exe().map_err(FaultTestError::OwnPath)?;
    let in_folder = |folder: &Path| Some(folder.join(PROGRAM)).filter(|path| path.is_file());
    // A test's program is one folder below.
    let found = own.ancestors().skip(1).take(2).find_map(in_folder);
    found.ok_or(FaultTestError::NoRouterProgram(own))
}

/// One router. Dropping it kills its process.
pub(crate) struct RouterProcess {
    number: usize,
    child: Option<Child>,
    config: PathBuf,
    /// Where it listens for clients.
    pub listen: SocketAddr,
    discovery: Discovery,
    store_relays: Vec<ConnectionRelay>,
}

impl RouterProcess {
    /// Writes the configuration and starts all that the router needs, but not its process.
    pub fn prepare(
        number: usize,
        listen: SocketAddr,
        config_path: PathBuf,
        config: &Value,
        stores: &[DataNode],
    ) -> IoResult<RouterProcess> {
        let discovery = Discovery::start("127.0.0.1:0")?;
        let relay = |store: &DataNode| ConnectionRelay::start(store.address);
        let store_relays: Vec<ConnectionRelay> = stores.iter().map(relay).collect::<IoResult<_>>()?;
        for (index, relay) in store_relays.iter().enumerate() {
            discovery.put(&format!("s-{index}"), relay.address, index as u32 % SHARDS, "up");
        }
        std::fs::write(&config_path, config.to_string())?;
        Ok(RouterProcess { number, child: None, config: config_path, listen, discovery, store_relays })
    }

    /// Starts the process. Its log comes back; without it nothing was piped.
    pub fn spawn(&mut self, program: &Path) -> IoResult<Option<ChildStderr>> {
        let mut command = Command::new(program);
        command
            .env("ROUTER_CONFIG", &self.config)
            .env("ROUTER_LISTEN", self.listen.to_string())
            .env("ROUTER_DISCOVERY", self.discovery.address.to_string())
            .stdin(Stdio::null())
            .stderr(Stdio::piped());
        // SAFETY: between fork and exec only this one system call is made, which takes no lock and allocates nothing.
        // It makes the kernel kill the router when this process is killed.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let mut child = command.spawn()?;
        let log = child.stderr.take();
        self.child = Some(child);
        Ok(log)
    }

    /// Whether there is a process, suspended or not.
    pub fn is_running(&self) -> bool {
        self.child.is_some()
    }

    /// Sends a signal to the process.
    pub fn signal(&self, signal: Signal) -> Result<(), FaultTestError> {
        let router = self.number;
        let child = self.child.as_ref().ok_or(FaultTestError::NotRunning(router))?;
        kill_process(Pid::from_child(child), signal)
            .map_err(|source| FaultTestError::Signal { router, source })
    }

    /// Waits for the end of a process that was killed or asked to end.
    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Only a process that is not this one's child could not be waited for.
            let _ = child.wait();
        }
    }

    /// Changes what happens to the router's connections to all stores.
    pub fn set_connection_mode(&self, mode: ConnectionMode) {
        for relay in &self.store_relays {
            relay.set_mode(mode);
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // A process that has ended already is as good.
            let _ = child.kill();
        }
        self.reap();
        // A file that is left behind does no harm.
        let _ = std::fs::remove_file(&self.config);
    }
}
