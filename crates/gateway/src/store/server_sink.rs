//! Applies the servers' registrations from the store.

use std::hash::Hash;
use std::hash::Hasher;
use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Instant;

use rustc_hash::FxHasher;

use super::TableSink;
use super::unreadable_row::log_unreadable;
use crate::cluster::RowDigest;
use crate::cluster::ServerListing;
use crate::codec::PlatformCodec;
use crate::model::RowValue;
use crate::model::ServerEntry;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;

/// Digest of every row that holds no valid registration.
const UNREADABLE_DIGEST: RowDigest = 1;

/// Keeps the fleet up to date.
#[derive(Debug)]
pub struct ServerSink<C> {
    state: Arc<GatewayState>,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> ServerSink<C> {
    /// Creates a sink that updates `state`.
    pub fn new(state: Arc<GatewayState>) -> Self {
        ServerSink { state, codec: PhantomData }
    }

    fn decode(row: &StoreRow) -> DecodedRow {
        match &row.value {
            RowValue::Removed => DecodedRow::Removed,
            RowValue::Unreadable(problem) => DecodedRow::Unreadable(problem.clone()),
            RowValue::Held(value) => match C::server_entry(&row.key, value) {
                Ok(entry) => DecodedRow::Entry(entry),
                Err(error) => DecodedRow::Unreadable(error.to_string()),
            },
        }
    }
}

/// Decoded row of the servers' table.
enum DecodedRow {
    Entry(ServerEntry),
    Removed,
    /// The reason why the row can't be decoded.
    Unreadable(String),
}

impl<C: PlatformCodec> TableSink for ServerSink<C> {
    fn apply_listing(&mut self, rows: Vec<StoreRow>, version: StoreStamp) {
        let mut listing = ServerListing::default();
        for row in &rows {
            match Self::decode(row) {
                DecodedRow::Entry(entry) => listing.entries.push((entry, row.stamp)),
                DecodedRow::Unreadable(problem) => {
                    log_unreadable(StoreTable::Servers, row, &problem);
                    listing.unreadable.push((row.key.as_str().into(), row.stamp));
                }
                DecodedRow::Removed => {}
            }
        }
        let changes = self.state.fleet().replace(listing, version, Instant::now());
        self.state.log_changes(&changes, version);
    }

    fn apply_changes(&mut self, rows: Vec<StoreRow>) {
        let mut changes = Vec::new();
        let mut newest = StoreStamp::NONE;
        for row in rows {
            newest = newest.max(row.stamp);
            let now = Instant::now();
            let change = match Self::decode(&row) {
                DecodedRow::Entry(entry) => self.state.fleet().upsert(entry, row.stamp),
                DecodedRow::Removed => self.state.fleet().remove(&row.key, row.stamp, now),
                DecodedRow::Unreadable(problem) => {
                    log_unreadable(StoreTable::Servers, &row, &problem);
                    self.state.fleet().record_unreadable(&row.key, row.stamp);
                    None
                }
            };
            changes.extend(change);
        }
        self.state.log_changes(&changes, newest);
    }

    /// Digests the decoded entry: a server's renewals change only a counter in its row.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest> {
        match Self::decode(row) {
            DecodedRow::Removed => None,
            DecodedRow::Unreadable(_) => Some(UNREADABLE_DIGEST),
            DecodedRow::Entry(entry) => {
                let mut hasher = FxHasher::default();
                entry.hash(&mut hasher);
                Some(hasher.finish())
            }
        }
    }

    fn store_available(&mut self) {
        self.state.fleet().record_store_available(Instant::now());
        // Prevents missing a configuration change made during the outage: the configuration's long
        // feed call, on a connection from before the outage, would not show it.
        self.state.config_read_requested.notify(usize::MAX);
    }

    fn store_copied(&mut self) {
        self.state.fleet().record_store_copied();
        // Announcements and origins may be among what the copy lacks.
        self.state.fleet().forget_announcements();
        self.state.origins.announcement_due.notify(1);
        self.store_available();
    }

    fn record_read(&mut self) {
        self.state.fleet().record_store_read(Instant::now());
    }
}
