//! Locks of the daemon's state after a panic.

use std::panic::AssertUnwindSafe;
use std::panic::catch_unwind;

use umberglade_router::control::ControlState;

/// Guards against a lock that is unusable after a panic: all later requests would panic too.
#[test]
fn a_panic_under_a_lock_leaves_it_usable() {
    let control = ControlState::default();
    let update = || control.update(|_| panic!("a panic of the test"));
    assert!(catch_unwind(AssertUnwindSafe(update)).is_err());
    let before = control.current().fence;
    control.update(|snapshot| snapshot.fence += 1);
    assert_eq!(control.current().fence, before + 1);
}
