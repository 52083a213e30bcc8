//! The gateway: passes callers' HTTP requests on to the backend servers of
//! the configuration in force, through separate prefill and decode pools
//! where the service has them.
//!
//! Modules, in the order a request meets them: [`ingress`] (connections,
//! limits, the route), [`forward`] (one request end to end), [`upstream`]
//! (connections to backend servers). [`cluster`] holds every decision, free
//! of I/O and clocks; [`store`] and [`peers`] feed it. [`model`] is the
//! vocabulary and [`codec`] the seam to a platform's manner of speaking.

pub mod cluster;
pub mod codec;
mod config_state;
pub mod events;
mod flow_state;
pub mod forward;
pub mod in_flight_count;
pub mod ingress;
pub mod leader;
pub mod load_guard;
pub mod model;
pub mod peers;
pub mod quarantine;
pub mod quota;
pub mod service_queues;
pub mod start;
pub mod state;
pub mod stop;
pub mod store;
pub mod timing;
pub mod upstream;
