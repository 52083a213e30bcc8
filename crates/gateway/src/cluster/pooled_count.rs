//! Pools the means of several gateways.

/// Maximum number of samples that one gateway's mean stands for, however many it has recorded: its
/// means decay, the slowest of them over about as many samples.
const MAX_SAMPLES: u32 = 20;

/// The weight of a mean that is added to a pool of means.
#[derive(Debug, Clone, Copy)]
pub(super) struct PooledCount {
    /// Samples in the pool, the added ones included.
    pub samples: u32,
    fraction: f64,
}

impl PooledCount {
    /// Adds a mean of `added` samples to a pool of `pooled` samples.
    pub fn new(pooled: u32, added: u32) -> Self {
        let added = added.min(MAX_SAMPLES);
        let samples = pooled.saturating_add(added);
        PooledCount { samples, fraction: f64::from(added) / f64::from(samples.max(1)) }
    }

    /// Returns the pool's mean after adding the mean `added` to the mean `pooled`.
    pub fn mean(&self, pooled: f64, added: f64) -> f64 {
        pooled + (added - pooled) * self.fraction
    }
}

/// Returns true if `value` can be a time, a count or a sum of them.
///
/// Prevents a datagram that no gateway sent from corrupting the estimates: NaN or a value out of
/// bounds would spoil every mean that it is pooled with, and converting it to a duration would
/// panic and end the process.
pub(super) fn is_valid(value: f64) -> bool {
    const MAX: f64 = 1e15;
    (0.0..=MAX).contains(&value)
}
