//! Mutexes that ignore poisoning.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex. Poisoning is ignored: the protected values stay consistent if a thread panics while it has the lock.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
