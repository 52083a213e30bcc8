//! What a gateway has learned of a service's engines from its own streams.

use serde::Deserialize;
use serde::Serialize;

use super::FirstEventTime;
use super::OutputEstimate;
use super::StageBalance;

/// What streams of one service were like: how long their answers, and what
/// they took of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineEstimates {
    pub outputs: OutputEstimate,
    pub balance: StageBalance,
    pub opening: FirstEventTime,
}

impl EngineEstimates {
    /// False for what no gateway can have learned.
    pub fn is_valid(&self) -> bool {
        self.outputs.is_valid() && self.balance.is_valid() && self.opening.is_valid()
    }

    /// What several gateways have learned together, each by how much it has
    /// seen lately.
    ///
    /// Guards against knowing nothing for minutes: one of 195 gateways serves a
    /// stream each four seconds, so by its own streams alone it learns how long
    /// they take after half a minute, and forgets it when it starts anew.
    pub fn pooled(estimates: impl Iterator<Item = EngineEstimates>) -> EngineEstimates {
        estimates.fold(EngineEstimates::default(), |pool, estimate| EngineEstimates {
            outputs: pool.outputs.pooled_with(&estimate.outputs),
            balance: pool.balance.pooled_with(&estimate.balance),
            opening: pool.opening.pooled_with(&estimate.opening),
        })
    }
}
