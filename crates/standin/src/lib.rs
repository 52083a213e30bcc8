//! Stand-ins for the external systems that umberglade talks to: engines, plain services and the
//! platform (table service, object store and instance list).
//!
//! Each stand-in is a [`umberglade_wire::server::RequestHandler`], so it can run as its own process
//! (`umberglade standin ...`) or inside `umberglade dev`. Stand-ins simulate only the behaviour at
//! the interface: timings, limits and faults. They do not run a model.

pub mod engine;
pub mod plain;
pub mod platform;
pub mod rate;
