//! Publishes the current snapshot to all readers.

use std::sync::Arc;
use std::sync::RwLock;

use super::ControlSnapshot;

/// The published snapshot. Its lock is held only to swap or clone an `Arc` and, by the follower,
/// to compute the next snapshot.
#[derive(Debug, Default)]
pub struct ControlState {
    current: RwLock<Arc<ControlSnapshot>>,
}

impl ControlState {
    /// Returns the current snapshot.
    pub fn current(&self) -> Arc<ControlSnapshot> {
        self.current.read().expect("control lock").clone()
    }

    /// Publishes a copy of the snapshot with `change` applied. The lock is held throughout, so the
    /// two feeds never overwrite each other's changes.
    pub fn update(&self, change: impl FnOnce(&mut ControlSnapshot)) {
        let mut current = self.current.write().expect("control lock");
        let mut next = (**current).clone();
        change(&mut next);
        *current = Arc::new(next);
    }
}
