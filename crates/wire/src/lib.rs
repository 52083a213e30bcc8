//! Messages and HTTP plumbing shared by every umberglade process.
//!
//! The daemon, the stand-ins and `umberctl` speak HTTP/1.1 with JSON bodies
//! through `hyper` on the `smol` runtime. This crate holds the typed messages
//! of each interface (caller, engine, platform) and the small server and
//! client helpers that carry them.

pub mod caller;
pub mod client;
pub mod engine;
pub mod error;
pub mod ids;
pub mod keep_alive;
pub mod lines;
pub mod plain;
pub mod platform;
pub mod pool;
pub mod reply;
pub mod server;

pub use error::WireError;

/// A stable 64-bit digest of `text` (xxh3), used for prefix affinity and
/// to derive a stand-in's answer from its prompt.
pub fn digest(text: &[u8]) -> u64 {
    xxhash_rust::xxh3::xxh3_64(text)
}

/// Like [`digest`], mixed with `seed` and without copying `text`.
pub fn digest_seeded(text: &[u8], seed: u64) -> u64 {
    xxhash_rust::xxh3::xxh3_64_with_seed(text, seed)
}
