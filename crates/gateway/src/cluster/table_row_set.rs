//! The content of a store table, summarised as one number that gateways compare.

use rustc_hash::FxHashMap;

use crate::model::StoreStamp;

/// Digest of a row's content; rows that differ only in irrelevant details have the same digest.
pub type RowDigest = u64;
/// Digest of a whole table's content, independent of the order of its rows.
pub type TableFingerprint = u64;

/// Maximum number of deleted rows that are remembered, far more than change within the store's
/// history. Without a bound, a process that never lists the table again would keep every server
/// that ever left.
const MAX_DELETED_ROWS: usize = 1024;

/// The last known state of one row.
#[derive(Debug, Clone, Copy)]
struct KnownRow {
    stamp: StoreStamp,
    /// `None` once the row is deleted, so that an older version that arrives late does not restore
    /// it.
    digest: Option<RowDigest>,
}

/// The content of one table, by row.
///
/// Servers renew their rows every second with the same content. Comparing content lets a gateway
/// send its peers only the rows that changed, and lets two gateways compare their whole tables by
/// one number.
#[derive(Debug, Default)]
pub struct TableRowSet {
    rows: FxHashMap<String, KnownRow>,
    /// Invariant: the exclusive or of the digests of all present rows, each combined with its key.
    fingerprint: TableFingerprint,
    /// Approximate number of deleted rows in `rows`.
    deleted: usize,
}

impl TableRowSet {
    /// Records a row, deleted if `digest` is `None`. Returns true if its content is new, and false
    /// if it is older than the known row or has the same content.
    pub fn record(&mut self, key: &str, stamp: StoreStamp, digest: Option<RowDigest>) -> bool {
        let known = self.rows.get(key).copied();
        if known.is_some_and(|known| known.stamp > stamp) {
            return false;
        }
        self.rows.insert(key.to_owned(), KnownRow { stamp, digest });
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

    /// Replaces the content by a complete listing as of `version`; returns the keys of deleted
    /// rows.
    pub fn replace<'a>(
        &mut self,
        rows: impl Iterator<Item = (&'a str, StoreStamp, RowDigest)>,
        stamp: StoreStamp,
    ) -> Vec<String> {
        let mut previous = std::mem::take(self);
        for (key, row_stamp, digest) in rows {
            previous.rows.remove(key);
            self.record(key, row_stamp, Some(digest));
        }
        let is_deleted = |row: &KnownRow| row.digest.is_some() && row.stamp <= stamp;
        previous.rows.into_iter().filter(|(_, row)| is_deleted(row)).map(|(key, _)| key).collect()
    }

    /// Returns the number of remembered rows, including deleted ones.
    pub fn len(&self) -> usize {
        self.rows.len()
    }

    /// Returns true if no row is remembered.
    pub fn is_empty(&self) -> bool {
        self.rows.is_empty()
    }

    /// Returns the fingerprint, which is equal at gateways that hold the same content.
    pub fn fingerprint(&self) -> TableFingerprint {
        self.fingerprint
    }
}

fn keyed_digest(key: &str, digest: RowDigest) -> u64 {
    umberglade_wire::digest_seeded(key.as_bytes(), digest)
}
