//! Rendezvous hashing of gateways and servers.

use crate::model::ServerIncarnation;

/// An odd multiplier whose upper product bits depend on all lower ones: 2^64
/// over the golden ratio, as in multiplicative hashing.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the rendezvous hash of `server` and the gateway with the digest `gateway`. Every gateway
/// computes the same value.
pub(super) fn rendezvous_score(gateway: u64, server: ServerIncarnation) -> u32 {
    ((gateway ^ server).wrapping_mul(MULTIPLIER) >> 32) as u32
}
