//! The last changes of the configuration, kept for peers that have not seen them.

use std::collections::VecDeque;

use bytes::Bytes;

use crate::model::ConfigId;

/// Maximum size of the changes that are kept, in bytes.
const MAX_STEP_BYTES: usize = 1024 * 1024;
/// Maximum number of changes that a peer is sent one after the other; one that lacks more is sent
/// the whole configuration.
const MAX_STEPS: usize = 8;

/// A part of a configuration that one gateway sends another in one piece: the change from one
/// configuration to the next one, or a whole configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigPart {
    /// The configuration that it changes; `None` for a whole configuration.
    pub from: Option<ConfigId>,
    pub to: ConfigId,
    /// Size of the row of `to` in the store, in bytes.
    pub row_bytes: usize,
    /// The encoded [`ConfigDelta`](crate::model::ConfigDelta).
    pub bytes: Bytes,
    pub checksum: u64,
}

impl ConfigPart {
    /// Creates a part with the checksum of `bytes`.
    pub fn new(from: Option<ConfigId>, to: ConfigId, row_bytes: usize, bytes: Bytes) -> Self {
        let checksum = umberglade_wire::digest(&bytes);
        ConfigPart { from, to, row_bytes, bytes, checksum }
    }
}

/// The last changes of the configuration in force, and the whole configuration before the last one.
#[derive(Debug, Default)]
pub struct ConfigLog {
    /// Invariant: each begins where the one before ends, and the last one ends at the
    /// configuration in force.
    steps: VecDeque<ConfigPart>,
    /// Kept so that a transfer that had begun before the last change can be resumed.
    previous_image: Option<ConfigPart>,
}

impl ConfigLog {
    /// Records the change that led to the configuration in force, if it is known, and the image of
    /// the configuration before it, if there was one.
    pub fn record(&mut self, step: Option<ConfigPart>, previous_image: Option<ConfigPart>) {
        self.previous_image = previous_image;
        let Some(step) = step else {
            self.steps.clear();
            return;
        };
        self.steps.push_back(step);
        while self.steps.len() > MAX_STEPS || self.step_bytes() > MAX_STEP_BYTES {
            self.steps.pop_front();
        }
    }

    /// Returns the change of configuration `held`, if it is kept.
    pub fn step_from(&self, held: ConfigId) -> Option<&ConfigPart> {
        self.steps.iter().find(|step| step.from == Some(held))
    }

    /// Returns the part that leads from `from` to `to`, if it is kept.
    pub fn part(&self, from: Option<ConfigId>, to: ConfigId) -> Option<&ConfigPart> {
        let parts = self.steps.iter().chain(&self.previous_image);
        parts.into_iter().find(|part| part.from == from && part.to == to)
    }

    fn step_bytes(&self) -> usize {
        self.steps.iter().map(|step| step.bytes.len()).sum()
    }
}
