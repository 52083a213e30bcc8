//! Leadership: one daemon at a time, the leader, may send orders to backend servers, and removes
//! old records from the platform's tables.
//!
//! One row of the platform's table service names the leader, and the row's version is the fencing
//! token of every order. There is no election protocol: when the row is older than the lease by
//! the service's own clock, daemons try a conditional write, which only one of them can win.

mod cleaner;
mod controller;
mod lease;

pub use self::cleaner::RecordCleaner;
pub use self::controller::LeaderController;
pub use self::lease::LeaderLease;
