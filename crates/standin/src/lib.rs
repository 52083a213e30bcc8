//! Stand-ins for the outside systems umberglade meets: engines, plain
//! services and the platform (table service and instance list).
//!
//! Each stand-in is a [`umberglade_wire::server::RequestHandler`], so it
//! runs as its own process (`umberglade standin ...`) or inside `umberglade
//! dev`. They fake behaviour at the interface only: timings, limits and
//! faults, never a model.

pub mod engine;
pub mod plain;
pub mod platform;
pub mod rate;
