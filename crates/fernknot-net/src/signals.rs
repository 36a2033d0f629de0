//! The orders that the platform gives a process.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Signals noted as they come and taken by the loop at its next turn; a signal ends the loop's wait.
pub struct Signals {
    terminate: Arc<AtomicBool>,
    hang_up: Arc<AtomicBool>,
}

impl Signals {
    /// # Errors
    /// Where the system refuses a handler.
    pub fn install() -> std::io::Result<Signals> {
        let (term, hup) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        signal_hook::flag::register(SIGTERM, term.clone())?;
        signal_hook::flag::register(SIGHUP, hup.clone())?;
        Ok(Signals { terminate: term, hang_up: hup })
    }

    /// Whether the order to stop came since the last call.
    pub fn take_stop_request(&self) -> bool {
        self.terminate.swap(false, Ordering::Relaxed)
    }

    /// Whether the settings were said to have changed since the last call.
    pub fn take_reload_request(&self) -> bool {
        self.hang_up.swap(false, Ordering::Relaxed)
    }
}
