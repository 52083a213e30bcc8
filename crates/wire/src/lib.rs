//! Message types and HTTP helpers shared by all umberglade processes.
//!
//! The daemon, the stand-ins and `umberctl` speak HTTP/1.1 with JSON bodies,
//! using `hyper` on the `smol` runtime. This crate defines the messages of each
//! interface (caller, engine, plain service, platform) and the HTTP server and
//! client helpers that send and receive them.

pub mod caller;
pub mod caller_watch;
pub mod client;
pub mod client_connection;
pub mod engine;
pub mod error;
pub mod filtered_stream;
pub mod ids;
pub mod keep_alive;
pub mod lines;
pub mod lingering_close;
pub mod memory;
pub mod ordered_body;
pub mod panics;
pub mod plain;
pub mod platform;
pub mod pool;
pub mod read_allowance;
pub mod receive_window;
pub mod reply;
pub mod request_content;
pub mod server;

pub use error::WireError;

/// Returns the 64-bit xxh3 digest of `text`, the same in every process and run. Used for
/// prefix affinity and to derive a stand-in's response from its prompt.
pub fn digest(text: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text)
}

/// Returns the 64-bit xxh3 digest of `text` with `seed` mixed in, without copying `text`.
pub fn digest_seeded(text: &[u8], seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text, seed)
}
