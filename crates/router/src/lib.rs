//! The logic of the umberglade daemon: it admits callers' requests, places each on a prefill and a
//! decode server, streams the response back and follows the active preset in the platform's table
//! service.
//!
//! The modules in the order a request passes through them: [`front`] (the HTTP front),
//! [`admission`] (limits on accepted work), [`pipeline`] (one request end to end) and
//! [`placement`] (the choice of servers). Beside them: [`control`] (the active configuration),
//! [`membership`] (the live daemons), [`leader`] (the daemon that may send orders to servers),
//! [`platform`] (the client of the table service), [`preset`] (the configuration format) and
//! [`operator`] (the actions of `umberctl`).

pub mod admission;
pub mod control;
pub mod daemon;
pub mod events;
pub mod front;
pub mod idempotency;
pub mod leader;
pub mod membership;
pub mod operator;
pub mod pipeline;
pub mod placement;
pub mod platform;
pub mod preset;
pub mod prompt;
pub mod settings;
pub mod start;
mod state_lock;
pub mod status;
