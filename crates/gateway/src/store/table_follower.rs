//! Follows one table of the store: lists it, then waits for its changes.

use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;
use futures_lite::FutureExt;

use super::StoreClient;
use super::StoreError;
use super::TableCoordinator;
use crate::cluster::ReadRole;
use crate::cluster::RowDigest;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RowBatch;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;
use crate::timing::with_deadline;

/// Delay after a first failed call, doubled with each further failure in a row.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// Maximum delay between failed calls: short compared with the time in which a configuration must
/// be in force once the store is available again.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Outages shorter than this let no entry expire: servers renew theirs about each second, and an
/// entry expires after three missed renewals.
const MIN_OUTAGE: Duration = Duration::from_millis(1000);

/// Approximate overhead of a row in the store's responses, in bytes.
const ROW_OVERHEAD: usize = 40;

/// Receives the rows of a table.
pub trait TableSink: Send + 'static {
    /// Applies the full table as of `version`.
    fn apply_listing(&mut self, rows: Vec<StoreRow>, version: StoreVersion);
    /// Applies changes in their order.
    fn apply_changes(&mut self, rows: Vec<StoreRow>);
    /// Returns a digest of a row's content, which stays the same until the row changes in a way
    /// that matters, or `None` if the row was removed.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest>;
    /// Called when the store is available again after an outage.
    fn store_available(&mut self) {}
    /// Called when the store has responded to a call, with or without changes.
    fn record_read(&mut self) {}
    /// Returns a listener that resolves when the feed should be read at once, on a new connection.
    fn read_trigger(&self) -> Option<EventListener> {
        None
    }
}

/// Keeps a sink up to date with one table until the process stops. The sink keeps its state while
/// the store can't be read.
#[derive(Debug)]
pub struct TableFollower<C, S> {
    pub client: StoreClient<C>,
    pub table: StoreTable,
    pub sink: S,
    /// How long a feed call waits at the store. Bounds the time for which a silent connection goes
    /// unnoticed: it is detected shortly after this time, and replaced by a new one.
    pub feed_wait: Duration,
    /// Minimum interval between calls: the changes of tables that change all the time are read in
    /// batches, which saves calls and costs at most this delay.
    pub min_interval: Duration,
    /// Set for tables that gateways read for each other.
    pub coordinator: Option<TableCoordinator>,
}

impl<C: PlatformCodec, S: TableSink> TableFollower<C, S> {
    /// Follows the table until the process stops.
    pub async fn run(mut self) {
        let mut position: Option<StoreVersion> = None;
        let mut failures: u32 = 0;
        let mut known_at = Instant::now();
        let mut was_listener = false;
        loop {
            if let Some(until) = self.listen_until() {
                // Rows received from peers meanwhile are in no feed from this position.
                position = None;
                was_listener = true;
                self.record_age(self.known_at().unwrap_or(known_at));
                if !self.apply_peer_rows_until(until).await {
                    continue;
                }
            }
            self.apply_peer_rows();
            let started_at = Instant::now();
            known_at = self.known_at().unwrap_or(known_at);
            // Peers may stop sending notices because the store does not respond.
            let is_outage = failures > 0 || was_listener;
            let outage = if is_outage { known_at.elapsed() } else { Duration::ZERO };
            was_listener = false;
            match self.read_store(position, outage).await {
                Ok(version) => {
                    if failures > 0 {
                        self.log_available(failures, known_at);
                        failures = 0;
                    }
                    self.sink.record_read();
                    position = Some(version);
                    known_at = Instant::now();
                    self.record_age(known_at);
                    smol::Timer::at(started_at + self.read_interval()).await;
                }
                Err(error) if error.is_history_expired() => position = None,
                Err(error) => {
                    if failures == 0 {
                        self.log_unavailable(&error, position, known_at);
                    }
                    failures += 1;
                    self.record_age(known_at);
                    metrics::counter!("umberglade_store_failures_total").increment(1);
                    if let Some(coordinator) = &self.coordinator {
                        coordinator.record_failure();
                    }
                    smol::Timer::after(retry_delay(failures)).await;
                    // After an outage the full table is read: the feed would not report entries
                    // that expired during the outage.
                    if failures > 1 {
                        position = None;
                    }
                }
            }
        }
    }

    /// Returns until when this gateway may rely on its peers' reads, or `None` if it reads the
    /// store itself now.
    fn listen_until(&mut self) -> Option<Instant> {
        match self.coordinator.as_mut()?.role() {
            ReadRole::Reader => None,
            ReadRole::Receiver { until } => Some(until),
        }
    }

    /// Waits for rows from peers, until `until` at most. Returns true if the store should be read
    /// nevertheless.
    async fn apply_peer_rows_until(&mut self, until: Instant) -> bool {
        let Some(coordinator) = &mut self.coordinator else { return true };
        let rows_received = coordinator.rows_received();
        if self.apply_peer_rows() {
            return false;
        }
        let woken = async {
            rows_received.await;
            false
        };
        let read_trigger = self.sink.read_trigger();
        let is_triggered = async {
            match read_trigger {
                Some(read_trigger) => read_trigger.await,
                None => std::future::pending().await,
            }
            true
        };
        with_deadline(until, woken.or(is_triggered)).await.unwrap_or(false)
    }

    /// Applies rows received from peers. Returns true if some changed what is held here. A gateway
    /// that also reads the table does not send them again.
    fn apply_peer_rows(&mut self) -> bool {
        let Some(coordinator) = &mut self.coordinator else { return false };
        let rows = coordinator.take_new_peer_rows(&self.sink);
        let has_updates = !rows.is_empty();
        if has_updates {
            self.sink.apply_changes(rows);
        }
        has_updates
    }

    /// Makes one call to the store. `outage` is the time for which the table's content was not
    /// known.
    async fn read_store(
        &mut self,
        position: Option<StoreVersion>,
        outage: Duration,
    ) -> Result<StoreVersion, StoreError> {
        match position {
            None => {
                let (rows, version) = self.client.list(self.table).await?;
                self.notify_available(outage);
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.record_size(estimated_bytes(&rows), self.min_interval);
                    coordinator.record_listing(&rows, version, &self.sink);
                }
                self.sink.apply_listing(rows, version);
                Ok(version)
            }
            Some(version) => {
                let batch = self.feed(version).await?;
                self.notify_available(outage);
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.record_size(estimated_bytes(&batch.rows), self.min_interval);
                    coordinator.record_changes(&batch.rows, &self.sink);
                }
                if !batch.rows.is_empty() {
                    self.sink.apply_changes(batch.rows);
                }
                Ok(batch.version.max(version))
            }
        }
    }

    /// Makes a feed call. If the sink's trigger fires meanwhile, the call is started again on
    /// another connection: the present one may be silent.
    async fn feed(&mut self, version: StoreVersion) -> Result<RowBatch, StoreError> {
        let feed_wait = self.halved_if_shared(self.feed_wait);
        loop {
            let read_trigger = self.sink.read_trigger();
            let feed = self.client.feed(self.table, version, feed_wait);
            let Some(read_trigger) = read_trigger else { return feed.await };
            let interrupted = async {
                read_trigger.await;
                None
            };
            if let Some(batch) = async { Some(feed.await) }.or(interrupted).await {
                return batch;
            }
        }
    }

    /// Returns the minimum interval between this gateway's calls.
    fn read_interval(&self) -> Duration {
        self.halved_if_shared(self.min_interval)
    }

    /// Returns half of `time` if gateways read this table for each other: the content at a reader's
    /// peers is older than at the reader, by the time until its next report.
    fn halved_if_shared(&self, time: Duration) -> Duration {
        let is_shared = self.coordinator.as_ref().is_some_and(TableCoordinator::is_shared);
        if is_shared { time / 2 } else { time }
    }

    /// Returns the latest time at which the rows held here matched the store, by local reads or the
    /// peers' notices.
    fn known_at(&self) -> Option<Instant> {
        self.coordinator.as_ref().and_then(TableCoordinator::known_at)
    }

    fn notify_available(&mut self, outage: Duration) {
        if outage >= MIN_OUTAGE {
            self.sink.store_available();
        }
    }

    fn log_available(&self, failures: u32, known_at: Instant) {
        let outage_ms = known_at.elapsed().as_millis() as u64;
        tracing::info!(
            event = events::STORE_AVAILABLE,
            table = %self.table,
            failures,
            outage_ms,
            "store available again"
        );
    }

    fn log_unavailable(
        &self,
        error: &StoreError,
        position: Option<StoreVersion>,
        known_at: Instant,
    ) {
        let age_ms = known_at.elapsed().as_millis() as u64;
        tracing::warn!(
            event = events::STORE_UNAVAILABLE,
            table = %self.table,
            version = position.unwrap_or(0),
            age_ms,
            %error,
            "store unavailable; keeping the state read last"
        );
    }

    fn record_age(&self, known_at: Instant) {
        let table = self.table.to_string();
        metrics::gauge!("umberglade_store_age_ms", "table" => table)
            .set(known_at.elapsed().as_millis() as f64);
    }
}

/// Estimates the size of `rows` on the wire from their keys and values.
pub(super) fn estimated_bytes(rows: &[StoreRow]) -> usize {
    let value = |row: &StoreRow| match &row.value {
        RowValue::Held(value) => value.len() * 4 / 3,
        RowValue::Removed | RowValue::Unreadable(_) => 0,
    };
    rows.iter().map(|row| value(row) + row.key.len() + ROW_OVERHEAD).sum()
}

fn retry_delay(failures: u32) -> Duration {
    let doubled = INITIAL_RETRY_DELAY * 2u32.pow(failures.saturating_sub(1).min(4));
    doubled.min(MAX_RETRY_DELAY).mul_f64(0.75 + fastrand::f64() * 0.5)
}
