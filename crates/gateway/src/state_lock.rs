//! Locks that stay usable after a panic.
//!
//! A panic of a thread that holds a lock must not make every later request panic too. Each lock is
//! held only for one change, which the panic leaves half made at worst.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::sync::RwLock;
use std::sync::RwLockReadGuard;
use std::sync::RwLockWriteGuard;

/// A [`Mutex`] that a panic does not poison.
#[derive(Debug, Default)]
pub struct StateLock<T> {
    mutex: Mutex<T>,
}

impl<T> StateLock<T> {
    pub fn new(value: T) -> Self {
        StateLock { mutex: Mutex::new(value) }
    }

    pub fn lock(&self) -> MutexGuard<'_, T> {
        self.mutex.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A [`RwLock`] that a panic does not poison.
#[derive(Debug, Default)]
pub struct StateRwLock<T> {
    lock: RwLock<T>,
}

impl<T> StateRwLock<T> {
    pub fn new(value: T) -> Self {
        StateRwLock { lock: RwLock::new(value) }
    }

    pub fn read(&self) -> RwLockReadGuard<'_, T> {
        self.lock.read().unwrap_or_else(PoisonError::into_inner)
    }

    pub fn write(&self) -> RwLockWriteGuard<'_, T> {
        self.lock.write().unwrap_or_else(PoisonError::into_inner)
    }
}
