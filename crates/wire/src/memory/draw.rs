//! What is drawn from a budget, and what refuses it.

use strum::Display;
use strum::IntoStaticStr;

/// Which bound of a budget is reached.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum BudgetBound {
    /// The number of connections.
    Connections,
    /// The bytes of all callers, or those of large draws.
    Memory,
    /// The bytes of one organisation.
    Organisation,
    /// The connection has been asked to make room.
    Evicted,
}

/// How much is drawn, and what for.
#[derive(Debug, Clone, Copy)]
pub(super) struct Draw {
    pub bytes: usize,
    /// True for the bytes of a body that is not short.
    pub is_large: bool,
}

impl Draw {
    pub fn small(bytes: usize) -> Self {
        Draw { bytes, is_large: false }
    }
}
