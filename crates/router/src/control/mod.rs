//! What is in force on this daemon: the preset, the organisations, the
//! backend servers; and the follower that keeps it in step with the
//! platform's table service.
//!
//! Readers take an `Arc` of the current [`ControlSnapshot`] and never hold
//! the lock across an await. The follower alone replaces it.

mod follower;
mod server_counters;
mod server_pools;
mod server_slot;
mod snapshot;
mod state;

pub use self::follower::ControlFollower;
pub use self::server_counters::ServerCounters;
pub use self::server_counters::ServerLoad;
pub use self::server_pools::ServerPool;
pub use self::server_pools::ServerPools;
pub use self::server_slot::InFlightGuard;
pub use self::server_slot::ServerSlot;
pub use self::snapshot::ControlSnapshot;
pub use self::state::ControlState;
