//! The signals by which the platform asks a process to stop or to read its settings again.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Signals that were received and not handled yet. A signal also ends the event loop's wait.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    hang_up: Arc<AtomicBool>,
}

impl Signals {
    /// Begins to record SIGTERM and SIGHUP.
    ///
    /// # Errors
    /// The operating system refuses a handler.
    pub fn install() -> std::io::Result<Signals> {
        let (terminate, hang_up) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        signal_hook::flag::register(SIGTERM, terminate.clone())?;
        signal_hook::flag::register(SIGHUP, hang_up.clone())?;
        Ok(Signals { terminate, hang_up })
    }

    /// Whether SIGTERM was received since the last call: the process is to stop.
    pub fn take_stop_request(&self) -> bool {
        self.terminate.swap(false, Ordering::Relaxed)
    }

    /// Whether SIGHUP was received since the last call: the settings file has changed.
    pub fn take_reload_request(&self) -> bool {
        self.hang_up.swap(false, Ordering::Relaxed)
    }
}
