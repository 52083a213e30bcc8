//! Reads one table of the store.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use snafu::ResultExt;

use super::StoreEras;
use super::StoreError;
use super::overlapping_reads::OverlappingReads;
use super::store_client::decode_batch;
use super::store_error::ExchangeSnafu;
use crate::codec::PlatformCodec;
use crate::model::RowBatch;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;

/// Time from which on a page of a listing is late. It usually takes 4 ms.
const PAGE_PACE: Duration = Duration::from_millis(900);
/// Time beyond the requested wait from which on the response to a feed call is late.
const FEED_EXTRA_PACE: Duration = Duration::from_millis(400);
/// How long the pages of an unfinished listing are kept: less than the store keeps its history,
/// which tells what has changed in them.
const MAX_LISTING_AGE: Duration = Duration::from_secs(10);
/// Further calls under way are given up after a response of this size, in bytes: each of them would
/// bring the same rows again.
const LARGE_RESPONSE: usize = 64 * 1024;

const LISTING: &str = "store listing";
const FEED: &str = "store feed";

/// What a read of a table has brought.
#[derive(Debug)]
pub enum TableRead {
    /// All rows, as of `through` or later.
    Listing {
        rows: Vec<StoreRow>,
        through: StoreStamp,
    },
    Changes(RowBatch),
    /// The store has come back from a copy: only a listing tells what it holds.
    EraChanged,
    /// Nothing yet. The call goes on, and another one has been started beside it.
    Late,
}

/// The pages of a listing that have been read.
#[derive(Debug)]
struct PartialListing {
    rows: Vec<StoreRow>,
    /// That of the first page: changes made during the listing come with the feed.
    through: StoreStamp,
    begun_at: Instant,
}

/// Reads one table, with calls that may overlap, and goes on with a listing that was interrupted.
#[derive(Debug)]
pub struct TableReader<C> {
    table: StoreTable,
    reads: OverlappingReads,
    eras: Arc<StoreEras>,
    listing: Option<PartialListing>,
    is_listing: bool,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> TableReader<C> {
    /// Creates a reader of `table` at the store of `state` without connecting.
    pub fn new(state: &GatewayState, table: StoreTable) -> Self {
        TableReader {
            table,
            reads: OverlappingReads::new(state.settings.store.to_string()),
            eras: Arc::clone(&state.store_eras),
            listing: None,
            is_listing: false,
            codec: PhantomData,
        }
    }

    /// Reads all rows. After an error or a late response, the next call goes on with the page that
    /// is missing.
    pub async fn list(&mut self) -> Result<TableRead, StoreError> {
        self.set_listing(true);
        if self.listing.as_ref().is_some_and(|read| read.begun_at.elapsed() > MAX_LISTING_AGE) {
            self.listing = None;
        }
        loop {
            let last = self.listing.as_ref().and_then(|listing| listing.rows.last());
            let path: Arc<str> = C::list_path(self.table, last.map(|row| &*row.key)).into();
            let Some(response) = self.reads.next(LISTING, &path, PAGE_PACE).await else {
                return Ok(TableRead::Late);
            };
            let response = response.context(ExchangeSnafu)?;
            if response.path != path {
                // A second copy of an earlier page.
                continue;
            }
            let batch = decode_batch::<C>(&self.eras, &response.response)?;
            self.reads.abandon();
            if self.is_of_other_era(&batch) {
                self.listing = None;
                continue;
            }
            if let Some(listing) = self.add_page(batch) {
                return Ok(TableRead::Listing { rows: listing.rows, through: listing.through });
            }
        }
    }

    /// Returns true if `batch` is of another era than the listing or than the newest answer.
    fn is_of_other_era(&self, batch: &RowBatch) -> bool {
        let era = batch.through.seen_era();
        let is_other = |listing: &PartialListing| listing.through.seen_era() != era;
        era != self.eras.current() || self.listing.as_ref().is_some_and(is_other)
    }

    /// Adds a page to the listing, and returns it if it is complete.
    fn add_page(&mut self, batch: RowBatch) -> Option<PartialListing> {
        let through = batch.through;
        let is_last = !batch.has_more || batch.rows.is_empty();
        let listing = self.listing.get_or_insert_with(|| PartialListing {
            rows: Vec::new(),
            through,
            begun_at: Instant::now(),
        });
        listing.rows.extend(batch.rows);
        if is_last { self.listing.take() } else { None }
    }

    /// Returns the changes after `position`; the store waits up to `wait` for the first.
    pub async fn feed(
        &mut self,
        position: StoreStamp,
        wait: Duration,
    ) -> Result<TableRead, StoreError> {
        self.set_listing(false);
        let path = self.feed_path(position, wait);
        let Some(response) = self.reads.next(FEED, &path, wait + FEED_EXTRA_PACE).await else {
            return Ok(TableRead::Late);
        };
        let response = response.context(ExchangeSnafu)?;
        if response.response.body.len() > LARGE_RESPONSE {
            self.reads.abandon();
        }
        let batch = decode_batch::<C>(&self.eras, &response.response);
        if self.eras.current() != position.seen_era() {
            return Ok(TableRead::EraChanged);
        }
        batch.map(TableRead::Changes)
    }

    /// Starts another feed call beside those under way, which may be on silent connections.
    pub fn start_feed(&mut self, position: StoreStamp, wait: Duration) {
        let path = self.feed_path(position, wait);
        self.reads.start(FEED, &path);
    }

    /// Gives up the calls under way, while peers read the table.
    pub fn abandon(&mut self) {
        self.reads.abandon();
    }

    fn feed_path(&self, position: StoreStamp, wait: Duration) -> Arc<str> {
        C::feed_path(self.table, position.version(), wait.as_millis() as u64).into()
    }

    /// Gives up the calls under way if they are of the other kind.
    fn set_listing(&mut self, is_listing: bool) {
        if self.is_listing != is_listing {
            self.is_listing = is_listing;
            self.listing = None;
            self.reads.abandon();
        }
    }
}
