//! Maximum sizes of what servers answer, from what each kind of answer holds.
//!
//! Heads, and bytes that belong to no part of an answer, are bounded by
//! [`umberglade_wire::client_connection`] on each connection. Past a bound the connection is closed.

/// A body that is held whole before any of it is passed on, in bytes. A longer success is passed on
/// as it arrives; a longer error is no answer.
pub const MAX_HELD_BYTES: usize = 64 * 1024;
/// The body of a success, in bytes: twice the largest object of the platform's store.
pub const MAX_PASSED_BYTES: usize = 16 * 1024 * 1024;
/// An event of a stream with the comments before it, in bytes. It holds the text of some tokens.
pub const MAX_EVENT_BYTES: usize = 64 * 1024;
/// The answer to a prefill, in bytes: the name of a handle and two numbers.
pub const MAX_HANDLE_BYTES: usize = 16 * 1024;
/// A report of an engine or the answer to an order, in bytes: a hundred for each of 2,000 runs.
pub const MAX_REPORT_BYTES: usize = 256 * 1024;
