//! The orders that the platform gives a process.

use signal_hook::consts::{SIGHUP, SIGTERM};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Signals noted as they come and taken by the loop at its next turn; a signal ends the loop's wait.
pub struct Signals {
    term: Arc<AtomicBool>,
    hup: Arc<AtomicBool>,
}

impl Signals {
    /// # Errors
    /// Where the system refuses a handler.
    pub fn watch() -> std::io::Result<Signals> {
        let (term, hup) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicBool::new(false)));
        signal_hook::flag::register(SIGTERM, term.clone())?;
        signal_hook::flag::register(SIGHUP, hup.clone())?;
        Ok(Signals { term, hup })
    }

    /// Whether the order to stop came since the last call.
    pub fn stop(&self) -> bool {
        self.term.swap(false, Ordering::Relaxed)
    }

    /// Whether the settings were said to have changed since the last call.
    pub fn changed(&self) -> bool {
        self.hup.swap(false, Ordering::Relaxed)
    }
}
