//! Follows one table: a listing, then its changes.

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
use crate::timing::by_deadline;

/// The pause after a first failed call, doubled with each in a row.
const INITIAL_RETRY_DELAY: Duration = Duration::from_millis(100);
/// The longest pause: short against the time in which a configuration must
/// be in force once the store is back.
const MAX_RETRY_DELAY: Duration = Duration::from_millis(700);

/// Outages shorter than this let no entry lapse: servers renew theirs about
/// each second, and three renewals must be missed.
const MIN_OUTAGE: Duration = Duration::from_millis(1000);

/// What frames a row in the store's answers, in bytes.
const ROW_OVERHEAD: usize = 40;

/// What takes in a table's rows.
pub trait TableSink: Send + 'static {
    /// The whole table as of `version`.
    fn apply_listing(&mut self, rows: Vec<StoreRow>, version: StoreVersion);
    /// Changes, in order.
    fn apply_changes(&mut self, rows: Vec<StoreRow>);
    /// A digest of what a row says, the same while it says nothing new; `None`
    /// when the row is gone.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest>;
    /// The store answers again after it did not.
    fn store_available(&mut self) {}
    /// A call was answered, with or without changes.
    fn record_read(&mut self) {}
    /// Resolves when the feed should be read at once, on a new connection.
    fn read_trigger(&self) -> Option<EventListener> {
        None
    }
}

/// Keeps a sink up to date with one table, for as long as the process
/// lives. What the sink knows stays while the store can't be read.
#[derive(Debug)]
pub struct TableFollower<C, S> {
    pub client: StoreClient<C>,
    pub table: StoreTable,
    pub sink: S,
    /// How long a feed call waits at the store. Guards against a connection
    /// that has gone silent: it is found out within this time and a little,
    /// while a new one works.
    pub feed_wait: Duration,
    /// The least time between calls: tables that change all the time are
    /// read in batches, which saves calls and costs at most this delay.
    pub min_interval: Duration,
    /// Set for tables that gateways read for each other.
    pub coordinator: Option<TableCoordinator>,
}

impl<C: PlatformCodec, S: TableSink> TableFollower<C, S> {
    /// Follows the table for good.
    pub async fn run(mut self) {
        let mut position: Option<StoreVersion> = None;
        let mut failures: u32 = 0;
        let mut known_at = Instant::now();
        let mut was_listener = false;
        loop {
            if let Some(until) = self.listen_until() {
                // What others tell meanwhile is in no feed from here on.
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
            // Others that fall silent may do so because the store did.
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
                    // After an outage the whole table is read: the feed
                    // would tell nothing of entries that lapsed unseen.
                    if failures > 1 {
                        position = None;
                    }
                }
            }
        }
    }

    /// Until when what other gateways tell is enough; `None` when this one
    /// reads the store itself now.
    fn listen_until(&mut self) -> Option<Instant> {
        match self.coordinator.as_mut()?.role() {
            ReadRole::Reader => None,
            ReadRole::Listener { until } => Some(until),
        }
    }

    /// Takes in what other gateways tell, until `until` at most; true when the
    /// store should be read all the same.
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
        by_deadline(until, woken.or(is_triggered)).await.unwrap_or(false)
    }

    /// Takes in rows that others told; true when some say something new. A gateway
    /// that reads the table too does not tell of them again.
    fn apply_peer_rows(&mut self) -> bool {
        let Some(coordinator) = &mut self.coordinator else { return false };
        let rows = coordinator.take_new_peer_rows(&self.sink);
        let has_updates = !rows.is_empty();
        if has_updates {
            self.sink.apply_changes(rows);
        }
        has_updates
    }

    /// One call; `outage` is how long the table's content has not been known.
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

    /// A feed call. When a read falls due meanwhile, the call is begun anew on
    /// another connection: this one may have gone silent.
    async fn feed(&mut self, version: StoreVersion) -> Result<RowBatch, StoreError> {
        let feed_wait = self.halved_if_shared(self.feed_wait);
        loop {
            let read_trigger = self.sink.read_trigger();
            let feed = self.client.feed(self.table, version, feed_wait);
            let Some(read_trigger) = read_trigger else { return feed.await };
            let cut = async {
                read_trigger.await;
                None
            };
            if let Some(batch) = async { Some(feed.await) }.or(cut).await {
                return batch;
            }
        }
    }

    /// The least time between two calls here.
    fn read_interval(&self) -> Duration {
        self.halved_if_shared(self.min_interval)
    }

    /// Half of `time` where this gateway reads for others too: what they know
    /// is older by a report.
    fn halved_if_shared(&self, time: Duration) -> Duration {
        let is_shared = self.coordinator.as_ref().is_some_and(TableCoordinator::is_shared);
        if is_shared { time / 2 } else { time }
    }

    /// When the content held here was last the store's, by our own reads or
    /// what others told.
    fn known_at(&self) -> Option<Instant> {
        self.coordinator.as_ref().and_then(TableCoordinator::known_at)
    }

    fn notify_available(&mut self, outage: Duration) {
        if outage >= MIN_OUTAGE {
            self.sink.store_available();
        }
    }

    fn log_available(&self, failures: u32, read_at: Instant) {
        let outage_ms = read_at.elapsed().as_millis() as u64;
        tracing::info!(
            event = events::STORE_AVAILABLE,
            table = %self.table,
            failures,
            outage_ms,
            "store read again"
        );
    }

    fn log_unavailable(
        &self,
        error: &StoreError,
        position: Option<StoreVersion>,
        read_at: Instant,
    ) {
        let age_ms = read_at.elapsed().as_millis() as u64;
        tracing::warn!(
            event = events::STORE_UNAVAILABLE,
            table = %self.table,
            version = position.unwrap_or(0),
            age_ms,
            %error,
            "store not read; what is known stays in force"
        );
    }

    fn record_age(&self, read_at: Instant) {
        let table = self.table.to_string();
        metrics::gauge!("umberglade_store_age_ms", "table" => table)
            .set(read_at.elapsed().as_millis() as f64);
    }
}

/// About what `rows` take on the way, by their values.
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
