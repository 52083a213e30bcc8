//! Means of several gateways taken together.

/// The most samples that one gateway's mean stands for, however many it has
/// seen: its means forget, the slowest of them within about as many.
const MAX_SAMPLES: u32 = 20;

/// How much of a pool of means one more of them makes out.
#[derive(Debug, Clone, Copy)]
pub(super) struct PooledCount {
    /// Samples that the pool stands for with it.
    pub samples: u32,
    fraction: f64,
}

impl PooledCount {
    /// A mean of `theirs` samples joins a pool that stands for `ours`.
    pub fn new(ours: u32, theirs: u32) -> Self {
        let theirs = theirs.min(MAX_SAMPLES);
        let samples = ours.saturating_add(theirs);
        PooledCount { samples, fraction: f64::from(theirs) / f64::from(samples.max(1)) }
    }

    /// The pool's mean, `ours` so far, with `theirs`.
    pub fn mean(&self, ours: f64, theirs: f64) -> f64 {
        ours + (theirs - ours) * self.fraction
    }
}

/// True when `value` can be a time, a count or a sum of them.
///
/// Guards against a datagram that is not a gateway's: one that is no number, or
/// beyond all bounds, would spoil every mean it is taken into, and a time made
/// of it would end the process.
pub(super) fn is_valid(value: f64) -> bool {
    const MAX: f64 = 1e15;
    (0.0..=MAX).contains(&value)
}
