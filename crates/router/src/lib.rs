//! The umberglade daemon's logic: it admits callers' requests, places each
//! on a prefill and a decode server, streams the answer back and follows
//! the preset in force from the platform's table service.
//!
//! Modules, in the order a request meets them: [`front`] (the HTTP
//! front), [`admission`] (what bounds the work taken on), [`pipeline`] (one
//! request end to end), [`placement`] (which server). Beside them:
//! [`control`] (what is in force), [`membership`] (which daemons there
//! are), [`duty`] (who may order servers about), [`platform`] (the table
//! service client), [`preset`] (the configuration format), [`operator`]
//! (what `umberctl` does).

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
pub mod status;
