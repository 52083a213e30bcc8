//! Takes locks that stay usable after a panic.
//!
//! A panic while a lock is held must not make every later request panic too. Each lock is held only
//! for one change, which the panic leaves half made at worst.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::RwLockWriteGuard;

/// Locks `mutex`, whether or not a panic has poisoned it.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Locks `rw_lock` for reading, whether or not a panic has poisoned it.
pub(crate) fn read<T>(rw_lock: &RwLock<T>) -> RwLockReadGuard<'_, T> {
    rw_lock.read().unwrap_or_else(PoisonError::into_inner)
}

/// Locks `rw_lock` for writing, whether or not a panic has poisoned it.
pub(crate) fn write<T>(rw_lock: &RwLock<T>) -> RwLockWriteGuard<'_, T> {
    rw_lock.write().unwrap_or_else(PoisonError::into_inner)
}
