//! Rows of the table of software versions.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::StreamOrigin;
use crate::cluster::name_digest;
use crate::model::SoftwareDigest;

/// Prefix of the keys of announcements, which come before those of origins.
const ANNOUNCEMENT_PREFIX: &str = "announced-";
/// Prefix of the keys of origins.
const ORIGINS_PREFIX: &str = "origins-";
/// Number of rows with origins that each gateway writes in turn.
pub(super) const JOURNAL_ROWS: u64 = 4;

/// Returns the key of the announcement of a service's versions.
pub(super) fn announcement_key(service: &str) -> String {
    format!("{ANNOUNCEMENT_PREFIX}{:016x}", name_digest(service))
}

/// Returns the key under which `instance` writes its row with number `sequence`.
pub(super) fn journal_key(instance: &str, sequence: u64) -> String {
    format!("{ORIGINS_PREFIX}{}-{instance}", sequence % JOURNAL_ROWS)
}

/// The versions of a service that may begin streams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct AnnouncementRow {
    pub versions: Vec<SoftwareDigest>,
}

/// The origins of some streams of one gateway.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub(super) struct JournalRow {
    /// Number of this row among those of its gateway.
    pub sequence: u64,
    pub origins: Vec<StreamOrigin>,
}

/// A decoded row.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum SoftwareRow {
    Announcement(AnnouncementRow),
    Origins { instance: String, row: JournalRow },
}

impl SoftwareRow {
    /// Decodes a row; fails with the problem.
    pub fn decode(key: &str, value: &[u8]) -> Result<Self, String> {
        if key.starts_with(ANNOUNCEMENT_PREFIX) {
            let row = postcard::from_bytes(value).map_err(|error| error.to_string())?;
            return Ok(SoftwareRow::Announcement(row));
        }
        let name = key.strip_prefix(ORIGINS_PREFIX).and_then(|name| name.split_once('-'));
        let (_, instance) = name.ok_or_else(|| "unknown kind of row".to_owned())?;
        let row = postcard::from_bytes(value).map_err(|error| error.to_string())?;
        Ok(SoftwareRow::Origins { instance: instance.to_owned(), row })
    }
}

/// Encodes a row.
pub(super) fn encode<R: Serialize>(row: &R) -> Vec<u8> {
    postcard::to_allocvec(row).expect("encoding plain fields")
}
