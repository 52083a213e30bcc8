//! The umberglade daemon's logic: it admits callers' requests, places each
//! on a prefill and a decode server, streams the answer back and follows
//! the preset in force from the platform's table service.
//!
//! Modules, in the order a request meets them: [`daemon`] (the HTTP
//! front), [`pipeline`] (one request end to end), [`placement`] (which
//! server), [`control`] (what is in force), [`platform`] (the table
//! service client), [`preset`] (the configuration format).

pub mod control;
pub mod daemon;
pub mod events;
pub mod idempotency;
pub mod operator;
pub mod pipeline;
pub mod placement;
pub mod platform;
pub mod preset;
pub mod prompt;
pub mod settings;
