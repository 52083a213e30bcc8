//! Bounds what a process holds for its callers, in memory and in connections.
//!
//! Callers that nobody controls send as much as the limits on one request allow, on as many
//! connections as they like. A [`MemoryBudget`] is the one account of what all of them take: a
//! connection is admitted with a [`ConnectionShare`], and each holder of bytes (the HTTP server's
//! buffers, a head, a body, a request's state, an answer) draws a [`MemoryGrant`] from it before it
//! holds them. When the budget is full, [`eviction`] names who makes room: those that hold most
//! and progress least.

mod account;
mod budget_limits;
mod connection_share;
mod draw;
pub mod eviction;
mod holder;
mod memory_budget;
mod metered_stream;
mod read_ahead;
mod request_body;
mod request_end;
mod unwritten_bytes;

pub use self::account::MEMORY_FULL;
pub use self::budget_limits::BudgetLimits;
pub use self::budget_limits::ProcessLimits;
pub use self::connection_share::ConnectionShare;
pub use self::connection_share::MemoryFull;
pub use self::connection_share::MemoryGrant;
pub use self::draw::BudgetBound;
pub use self::memory_budget::MemoryBudget;
pub use self::metered_stream::MeteredStream;
pub use self::read_ahead::ReadAhead;
pub use self::request_body::HeldBody;
pub use self::request_body::RequestBodyError;
pub use self::request_body::read_body;
pub use self::request_end::GuardedBody;
pub use self::request_end::RequestEnd;
