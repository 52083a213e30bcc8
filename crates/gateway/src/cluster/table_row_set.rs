//! What a table of the store holds, as one number that gateways compare.

use rustc_hash::FxHashMap;

use crate::model::StoreVersion;

/// A digest of what a row says; rows that differ in nothing that matters have
/// the same.
pub type RowDigest = u64;
/// A digest of a whole table's content, whatever the order of its rows.
pub type TableFingerprint = u64;

/// Rows that are deleted which are remembered at most; far more than change within
/// the store's history. Without a bound a process that never lists the table
/// again would keep each server that ever left.
const MAX_DELETED_ROWS: usize = 1024;

/// What is known of one row.
#[derive(Debug, Clone, Copy)]
struct KnownRow {
    version: StoreVersion,
    /// `None` once the row is deleted: an older row of it that comes late does not
    /// bring it back.
    digest: Option<RowDigest>,
}

/// The content of one table, by row.
///
/// Servers renew their rows each second and say the same as before. By content
/// a gateway tells the others only of rows that say something new, and two
/// gateways know that they hold the same by comparing one number.
#[derive(Debug, Default)]
pub struct TableRowSet {
    rows: FxHashMap<String, KnownRow>,
    /// Invariant: the exclusive or of the digests of all rows that are there,
    /// each keyed_digest with its key's.
    fingerprint: TableFingerprint,
    /// Rows in `rows` that are deleted, about.
    deleted: usize,
}

impl TableRowSet {
    /// Takes in a row, deleted if `digest` is `None`; true when it says something
    /// new, false when it is older than the one known or says the same.
    pub fn record(&mut self, key: &str, version: StoreVersion, digest: Option<RowDigest>) -> bool {
        let known = self.rows.get(key).copied();
        if known.is_some_and(|known| known.version > version) {
            return false;
        }
        self.rows.insert(key.to_owned(), KnownRow { version, digest });
        self.deleted += usize::from(digest.is_none());
        if self.deleted > MAX_DELETED_ROWS {
            self.rows.retain(|_, row| row.digest.is_some());
            self.deleted = 0;
        }
        let previous = known.and_then(|known| known.digest);
        if previous == digest {
            return false;
        }
        for row_digest in [previous, digest].into_iter().flatten() {
            self.fingerprint ^= keyed_digest(key, row_digest);
        }
        true
    }

    /// Takes in a whole listing as of `version`; the keys of rows that are deleted.
    pub fn replace<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a str, StoreVersion, RowDigest)>,
        version: StoreVersion,
    ) -> Vec<String> {
        let mut previous = std::mem::take(self);
        for (key, row_version, digest) in rows {
            previous.rows.remove(key);
            self.record(key, row_version, Some(digest));
        }
        let is_deleted = |row: &KnownRow| row.digest.is_some() && row.version <= version;
        previous.rows.into_iter().filter(|(_, row)| is_deleted(row)).map(|(key, _)| key).collect()
    }

    /// Rows remembered, those that are deleted included.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// True when no row is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// The same at two gateways that hold the same content.
    pub fn fingerprint(&self) -> TableFingerprint {
        self.fingerprint
    }
}

fn keyed_digest(key: &str, digest: RowDigest) -> u64 {
    umberglade_wire::digest_seeded(key.as_bytes(), digest)
}
