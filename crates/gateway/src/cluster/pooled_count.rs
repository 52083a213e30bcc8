//! Pools the means of several gateways.

/// Maximum number of samples that one gateway's mean stands for, however many it has recorded: its
/// means decay, the slowest of them within about as many samples.
const MAX_SAMPLES: u32 = 20;

/// The weight of a mean that is added to a pool of means.
#[derive(Debug, Clone, Copy)]
pub(super) struct PooledCount {
    /// Samples in the pool, the added ones included.
    pub samples: u32,
    fraction: f64,
}

impl PooledCount {
    /// Adds a mean of `theirs` samples to a pool of `ours`.
    pub fn new(ours: u32, theirs: u32) -> Self {
        let theirs = theirs.min(MAX_SAMPLES);
        let samples = ours.saturating_add(theirs);
        PooledCount { samples, fraction: f64::from(theirs) / f64::from(samples.max(1)) }
    }

    /// Returns the pool's mean after adding `theirs` to `ours`.
    pub fn mean(&self, ours: f64, theirs: f64) -> f64 {
        ours + (theirs - ours) * self.fraction
    }
}

/// Returns true when `value` can be a time, a count or a sum of them.
///
/// Prevents a datagram that no gateway sent from corrupting the estimates: NaN or a value out of
/// bounds would spoil every mean that it is pooled with, and converting it to a duration would
/// panic and end the process.
pub(super) fn is_valid(value: f64) -> bool {
    const MAX: f64 = 1e15;
    (0.0..=MAX).contains(&value)
}
