//! Estimates for a service's engines, from the streams of one gateway or of several pooled.

use serde::Deserialize;
use serde::Serialize;

use super::FirstEventTime;
use super::OutputEstimate;
use super::StageBalance;

/// Estimates from streams of one service: the length of responses, the load on each stage and the
/// time to first event.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineEstimates {
    pub outputs: OutputEstimate,
    pub balance: StageBalance,
    pub opening: FirstEventTime,
}

impl EngineEstimates {
    /// Returns false for values that no gateway can have estimated.
    pub fn is_valid(&self) -> bool {
        self.outputs.is_valid() && self.balance.is_valid() && self.opening.is_valid()
    }

    /// Returns the pooled estimates of several gateways, weighted by their numbers of recent
    /// samples.
    ///
    /// Prevents a gateway from having no estimates for minutes: one of 195 gateways serves a stream
    /// every 4 s, so that it would need half a minute to estimate durations from its own streams,
    /// and would lose the estimate when it restarts.
    pub fn pooled(estimates: impl Iterator<Item = EngineEstimates>) -> EngineEstimates {
        estimates.fold(EngineEstimates::default(), |pool, estimate| EngineEstimates {
            outputs: pool.outputs.pooled_with(&estimate.outputs),
            balance: pool.balance.pooled_with(&estimate.balance),
            opening: pool.opening.pooled_with(&estimate.opening),
        })
    }
}
