//! The duty: one daemon at a time may order backend servers about and
//! clears away what the fleet leaves behind in the table.
//!
//! Who holds it stands in one row of the platform's table service; the
//! row's version is the fencing number of every order. There is no
//! election: a daemon takes the duty when the row is older than the lease
//! by the service's own clock, with a conditional write only one can win.

mod cleaner;
mod controller;
mod lease;

pub use self::cleaner::RecordCleaner;
pub use self::controller::LeaderController;
pub use self::lease::LeaderLease;
