//! Publishes the current snapshot to all readers.

use std::sync::Arc;
use std::sync::RwLock;

use super::ControlSnapshot;
use crate::state_lock;

/// The published snapshot. Its lock is held only to swap or clone an `Arc` and, by the follower,
/// to compute the next snapshot.
#[derive(Debug, Default)]
pub struct ControlState {
    current: RwLock<Arc<ControlSnapshot>>,
}

impl ControlState {
    /// Returns the current snapshot.
    pub fn current(&self) -> Arc<ControlSnapshot> {
        state_lock::read(&self.current).clone()
    }

    /// Publishes a copy of the snapshot with `change` applied. The lock is held throughout, so the
    /// two feeds never overwrite each other's changes.
    pub fn update(&self, change: impl FnOnce(&mut ControlSnapshot)) {
        let mut current = state_lock::write(&self.current);
        let mut next = (**current).clone();
        change(&mut next);
        *current = Arc::new(next);
    }
}
