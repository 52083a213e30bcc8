//! What is in force on this daemon: the preset, the organisations, the
//! backend servers; and the follower that keeps it in step with the
//! platform's table service.
//!
//! Readers take an `Arc` of the current [`ControlSnapshot`] and never hold
//! the lock across an await. The follower alone replaces it.

mod follower;
mod server_slot;
mod snapshot;

pub use self::follower::ControlFollower;
pub use self::server_slot::InFlightGuard;
pub use self::server_slot::ServerSlot;
pub use self::snapshot::ControlSnapshot;
pub use self::snapshot::ControlState;
