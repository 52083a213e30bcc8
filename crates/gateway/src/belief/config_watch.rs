//! What this gateway hears of configurations that it does not hold yet.

use crate::model::ConfigVersion;

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
}
