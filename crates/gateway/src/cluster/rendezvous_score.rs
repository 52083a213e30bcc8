//! Rendezvous hashing of gateways with servers and streams.

/// An odd multiplier whose upper product bits depend on all lower ones: 2^64
/// over the golden ratio, as in multiplicative hashing.
const MULTIPLIER: u64 = 0x9E37_79B9_7F4A_7C15;

/// Returns the rendezvous hash of the gateway with the digest `gateway` and of `item`, the digest of
/// a server or a stream. Every gateway computes the same value.
pub fn rendezvous_score(gateway: u64, item: u64) -> u32 {
    ((gateway ^ item).wrapping_mul(MULTIPLIER) >> 32) as u32
}
