//! The gateway: forwards callers' HTTP requests to the backend servers of the configuration in
//! force, through separate prefill and decode pools where the service has them.
//!
//! Modules, in the order in which a request passes them: [`ingress`] (connections, limits, routes),
//! [`forward`] (one request end to end), [`paths`] and [`upstream`] (connections to backend servers,
//! directly or by a [`tunnel`] through another gateway). [`origins`] finds which software version began
//! a stream that a caller takes up. [`cluster`]
//! makes every decision, without I/O or clocks; [`store`] and [`peers`] supply its input. [`model`]
//! defines the shared types, and [`codec`] the interface to a platform's names and formats.

pub mod cluster;
pub mod codec;
mod config_state;
pub mod events;
mod flow_state;
pub mod forward;
mod framing;
pub mod in_flight_count;
pub mod ingress;
mod join;
pub mod leader;
pub mod link_use;
pub mod load_guard;
pub mod model;
pub mod origins;
pub mod panics;
pub mod paths;
pub mod peers;
pub mod quarantine;
pub mod quota;
mod registration;
mod retry_state;
pub mod service_queues;
pub mod start;
pub mod state;
pub mod state_lock;
pub mod stop;
pub mod store;
mod table_followers;
pub mod timing;
pub mod tunnel;
pub mod upstream;
