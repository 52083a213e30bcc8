//! Receivers of a table's rows.

use event_listener::EventListener;

use crate::cluster::RowDigest;
use crate::model::StoreRow;
use crate::model::StoreStamp;

/// Receives the rows of a table.
pub trait TableSink: Send + 'static {
    /// Applies the full table as of `version`.
    fn apply_listing(&mut self, rows: Vec<StoreRow>, version: StoreStamp);
    /// Applies changes in their order.
    fn apply_changes(&mut self, rows: Vec<StoreRow>);
    /// Returns a digest of a row's content, which stays the same until the row changes in a way
    /// that matters, or `None` if the row was removed.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest>;
    /// Called when the store is available again after an outage.
    fn store_available(&mut self) {}
    /// Called when the store has come back from a copy, which may lack rows that are written again
    /// soon.
    fn store_copied(&mut self) {
        self.store_available();
    }
    /// Called when the store has responded to a call, with or without changes.
    fn record_read(&mut self) {}
    /// Called when a peer has sent the table's content.
    fn content_received(&mut self) {}
    /// Returns a listener that resolves when the feed should be read at once, on a new connection.
    fn read_trigger(&self) -> Option<EventListener> {
        None
    }
    /// Returns the row that the sink holds, if the table's content is one row that gateways
    /// transfer to each other.
    fn transferable_row(&self) -> Option<TransferableRow> {
        None
    }
    /// Returns true if rows may expire while the store is not available. The feed does not report
    /// such rows afterwards, so the full table is read.
    fn has_expiring_rows(&self) -> bool {
        true
    }
}

/// A row whose content gateways transfer to each other.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TransferableRow {
    pub key: String,
    pub stamp: StoreStamp,
    /// Size of its value in the store, in bytes.
    pub bytes: usize,
}
