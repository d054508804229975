//! Locks that outlive a panic of their holder.

use std::sync::{Mutex, MutexGuard, PoisonError};

/// Locks a mutex, also where a holder panicked.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
