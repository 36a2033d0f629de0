//! Signals that tell a process to stop or to reload its settings.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Signals that were received and not yet handled. A signal also interrupts the event loop's wait.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    hang_up: Arc<AtomicBool>,
}

impl Signals {
    /// Starts recording SIGTERM and SIGHUP.
    ///
    /// # Errors
    /// The operating system rejected a signal handler.
    pub fn install() -> std::io::Result<Signals> {
        let (terminate, hang_up) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        signal_hook::flag::register(SIGTERM, terminate.clone())?;
        signal_hook::flag::register(SIGHUP, hang_up.clone())?;
        Ok(Signals { terminate, hang_up })
    }

    /// Returns whether SIGTERM was received since the last call, and the process has to stop.
    pub fn take_stop_request(&self) -> bool {
        self.terminate.swap(false, Ordering::Relaxed)
    }

    /// Returns whether SIGHUP was received since the last call, and the settings file has to be read again.
    pub fn take_reload_request(&self) -> bool {
        self.hang_up.swap(false, Ordering::Relaxed)
    }
}
