//! One process of a cluster.

use crate::cluster::error::ClusterError;
use crate::cluster::role::Role;
use crate::sync::lock;
use rustix::process::{Pid, Signal, kill_process, set_parent_process_death_signal};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader};
use std::net::Ipv4Addr;
use std::os::unix::process::CommandExt;
use std::path::PathBuf;
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread;

/// Maximum number of log lines kept per process.
const MAX_LOG_LINES: usize = 400;

/// Process of a cluster, running or not.
pub(super) struct Process {
    pub role: Role,
    pub name: String,
    pub ip: Ipv4Addr,
    pub zone: String,
    program: PathBuf,
    pub settings_path: PathBuf,
    pub data_dir: Option<PathBuf>,
    child: Option<Child>,
    log_lines: Arc<Mutex<VecDeque<String>>>,
}

impl Process {
    pub fn new(
        role: Role,
        name: String,
        ip: Ipv4Addr,
        zone: String,
        program: PathBuf,
        settings_path: PathBuf,
        data_dir: Option<PathBuf>,
    ) -> Process {
        let (child, log_lines) = (None, Arc::default());
        Process { role, name, ip, zone, program, settings_path, data_dir, child, log_lines }
    }

    pub fn spawn(&mut self, log_filter: &str) -> Result<(), ClusterError> {
        let mut command = Command::new(&self.program);
        command
            .env("FERNKNOT_CONFIG", &self.settings_path)
            .env("FERNKNOT_LOG", log_filter)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped());
        // SAFETY: between fork and exec the closure makes one system call only, which takes no lock. The call makes
        // the kernel kill the process when its parent ends.
        unsafe {
            command.pre_exec(|| Ok(set_parent_process_death_signal(Some(Signal::KILL))?));
        }
        let mut child = command.spawn().map_err(ClusterError::from_io("start", &self.name))?;
        if let Some(stderr) = child.stderr.take() {
            let log_lines = self.log_lines.clone();
            thread::spawn(move || keep_last_lines(stderr, &log_lines));
        }
        self.child = Some(child);
        Ok(())
    }

    fn running_child(&mut self, operation: &'static str) -> Result<&mut Child, ClusterError> {
        let name = &self.name;
        self.child.as_mut().ok_or_else(|| ClusterError::not_running(operation, name.clone()))
    }

    pub fn signal(&mut self, signal: Signal) -> Result<(), ClusterError> {
        let to_error = ClusterError::from_io("signal", &self.name);
        let child = self.running_child("signal")?;
        kill_process(Pid::from_child(child), signal).map_err(|error| to_error(error.into()))
    }

    /// Sends SIGKILL, and waits until the process has ended.
    pub fn kill(&mut self) -> Result<(), ClusterError> {
        self.signal(Signal::KILL)?;
        let _ = self.running_child("wait for")?.wait();
        self.child = None;
        Ok(())
    }

    /// Returns the exit status if the process has ended since the last call.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        let status = self.child.as_mut()?.try_wait().ok()??;
        self.child = None;
        Some(status)
    }

    /// Returns the process id while the process runs.
    pub fn id(&self) -> Option<u32> {
        self.child.as_ref().map(Child::id)
    }

    pub fn log_lines(&self) -> Vec<String> {
        lock(&self.log_lines).iter().cloned().collect()
    }

    /// Returns a line break, the process's name and its last log line.
    pub fn last_log_line(&self) -> String {
        let line = lock(&self.log_lines).back().cloned().unwrap_or_default();
        format!("\n  {}: {line}", self.name)
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Some(child) = &mut self.child {
            // Errors are ignored: the process may have ended already.
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}

/// Reads a process's log until its end, and keeps the last lines.
fn keep_last_lines(stderr: ChildStderr, log_lines: &Mutex<VecDeque<String>>) {
    for line in BufReader::new(stderr).lines().map_while(Result::ok) {
        let mut log_lines = lock(log_lines);
        if log_lines.len() >= MAX_LOG_LINES {
            log_lines.pop_front();
        }
        log_lines.push_back(line);
    }
}
