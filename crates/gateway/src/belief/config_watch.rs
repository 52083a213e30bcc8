//! How closely this gateway watches the store for configurations.

use std::time::Duration;

use crate::model::ConfigVersion;

/// Gateways heard from which on each may watch less closely.
const PEERS_TO_SHARE: f64 = 8.0;
/// The most that a wait grows: some eight seconds where the bound is three.
const LONGEST_WAIT_PARTS: f64 = 5.0;
/// The shortest part of a wait that is drawn.
const SHORTEST_PART: f64 = 0.2;

/// What this gateway knows of configurations that it does not hold yet.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ConfigWatch {
    /// The newest version that another gateway has told of.
    heard: ConfigVersion,
}

impl ConfigWatch {
    /// Another gateway has `version` in force, this one `own`. True when it
    /// should read the store at once: once for each newer version, so that
    /// a store that does not show it yet is not asked without end.
    pub fn hear(&mut self, version: ConfigVersion, own: ConfigVersion) -> bool {
        let is_news = version > own.max(self.heard);
        self.heard = self.heard.max(version);
        is_news
    }

    /// How long the next read waits at the store for a change. `base` is the
    /// wait of a gateway on its own, `peers` how many others it hears, `draw`
    /// a number from 0 to 1.
    ///
    /// A connection that has gone silent hides a change until its wait ends.
    /// Where many gateways tell each other what is in force, one of them
    /// finds out soon, so each may wait longer: 80 gateways make 0.2 calls a
    /// second each instead of 0.67. The draw spreads the ends of their waits,
    /// which all begin anew with each change: the first of 80 ends within a
    /// quarter of the longest.
    pub fn wait(&self, base: Duration, peers: usize, own: ConfigVersion, draw: f64) -> Duration {
        let parts = (peers as f64 / PEERS_TO_SHARE).min(LONGEST_WAIT_PARTS);
        if self.heard > own || parts <= 1.0 {
            return base;
        }
        base.mul_f64(parts * (SHORTEST_PART + (1.0 - SHORTEST_PART) * draw)).max(base)
    }
}
