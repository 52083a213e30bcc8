//! What a gateway has learned of a service's engines from its own streams.

use serde::Deserialize;
use serde::Serialize;

use super::OpeningTime;
use super::OutputGuess;
use super::StageBalance;

/// What streams of one service were like: how long their answers, and what
/// they took of engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize, Deserialize)]
pub struct EngineLearning {
    pub outputs: OutputGuess,
    pub balance: StageBalance,
    pub opening: OpeningTime,
}

impl EngineLearning {
    /// False for what no gateway can have learned.
    pub fn is_sound(&self) -> bool {
        self.outputs.is_sound() && self.balance.is_sound() && self.opening.is_sound()
    }

    /// What several gateways have learned together, each by how much it has
    /// seen lately.
    ///
    /// Guards against knowing nothing for minutes: one of 195 gateways serves a
    /// stream each four seconds, so by its own streams alone it learns how long
    /// they take after half a minute, and forgets it when it starts anew.
    pub fn pooled(of: impl Iterator<Item = EngineLearning>) -> EngineLearning {
        of.fold(EngineLearning::default(), |pool, one| EngineLearning {
            outputs: pool.outputs.with(&one.outputs),
            balance: pool.balance.with(&one.balance),
            opening: pool.opening.with(&one.opening),
        })
    }
}
