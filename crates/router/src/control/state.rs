//! The lock that publishes the snapshot.

use std::sync::Arc;
use std::sync::RwLock;

use super::ControlSnapshot;

/// The published snapshot. One lock, held only to swap or clone an `Arc`
/// and, by the follower, to work out the next one.
#[derive(Debug, Default)]
pub struct ControlState {
    current: RwLock<Arc<ControlSnapshot>>,
}

impl ControlState {
    /// The snapshot in force now.
    pub fn current(&self) -> Arc<ControlSnapshot> {
        self.current.read().expect("control lock").clone()
    }

    /// Puts in force what `change` makes of the snapshot. The lock is held
    /// throughout, so the two feeds never undo each other's change.
    pub fn update(&self, change: impl FnOnce(&mut ControlSnapshot)) {
        let mut current = self.current.write().expect("control lock");
        let mut next = (**current).clone();
        change(&mut next);
        *current = Arc::new(next);
    }
}
