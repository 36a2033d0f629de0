//! A router with its process, configuration file, discovery stand-in and relays to the stores.

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

/// Number of shards in the example configuration; store `s-N` holds the shard with the number N modulo this number.
const SHARD_COUNT: u32 = 2;
const ROUTER_PROGRAM: &str = "fernknot-router";

/// Returns the path of the router program, which is built into the same directory as this program.
pub(crate) fn router_program() -> Result<PathBuf, FaultTestError> {
    let own_path = std::env::current_exe().map_err(FaultTestError::OwnPath)?;
    let in_directory = |directory: &Path| Some(directory.join(ROUTER_PROGRAM)).filter(|path| path.is_file());
    // Test programs are one directory below the other programs.
    let program = own_path.ancestors().skip(1).take(2).find_map(in_directory);
    program.ok_or(FaultTestError::RouterProgramNotFound(own_path))
}

/// Router whose process is killed when the value is dropped.
pub(crate) struct RouterProcess {
    number: usize,
    child: Option<Child>,
    config: PathBuf,
    /// Address at which the router accepts clients.
    pub listen: SocketAddr,
    discovery: Discovery,
    store_relays: Vec<ConnectionRelay>,
}

impl RouterProcess {
    /// Writes the configuration and starts the discovery stand-in and the relays to the stores, but not the process.
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
            discovery.put(&format!("s-{index}"), relay.address, index as u32 % SHARD_COUNT, "up");
        }
        std::fs::write(&config_path, config.to_string())?;
        Ok(RouterProcess { number, child: None, config: config_path, listen, discovery, store_relays })
    }

    /// Starts the process and returns its log.
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

    /// Waits until the process, which was killed or terminated, has exited.
    pub fn reap(&mut self) {
        if let Some(mut child) = self.child.take() {
            // Fails only for a process that is not a child of this one.
            let _ = child.wait();
        }
    }

    /// Sets the mode of the router's connections to all stores.
    pub fn set_connection_mode(&self, mode: ConnectionMode) {
        for relay in &self.store_relays {
            relay.set_mode(mode);
        }
    }
}

impl Drop for RouterProcess {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Fails only if the process has exited already.
            let _ = child.kill();
        }
        self.reap();
        // A file that remains in the temporary directory is harmless.
        let _ = std::fs::remove_file(&self.config);
    }
}
