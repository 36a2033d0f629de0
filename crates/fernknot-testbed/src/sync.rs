//! Locks over plain values.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks. Nothing is lost where another thread panicked: what it protected is plain values.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
