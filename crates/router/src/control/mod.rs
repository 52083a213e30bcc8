//! The configuration this daemon serves with (preset, organisations, backend servers) and the
//! follower that keeps it up to date with the platform's table service.
//!
//! Readers take an `Arc` of the current [`ControlSnapshot`] and never hold the lock across an
//! await. Only the follower replaces the snapshot.

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
