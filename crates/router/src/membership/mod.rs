//! Membership of daemons: each daemon renews its own row in the platform's `members` table and
//! periodically reads the rows of its peers.
//!
//! Daemons run no failure detector and send each other no messages. The age of a row is measured
//! by the table service's own monotonic clock, so the clocks of two machines are never compared.

mod heartbeat;
mod view;

pub use self::heartbeat::Heartbeat;
pub use self::view::MemberView;

/// The duration of a lease in heartbeats. Two heartbeats in a row may be lost.
pub const LEASE_HEARTBEATS: u32 = 3;
