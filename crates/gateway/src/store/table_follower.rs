//! Follows one table: a listing, then its changes.

use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;
use futures_lite::FutureExt;

use super::FollowError;
use super::StoreClient;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RowBatch;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;

/// The pause after a first failed call, doubled with each in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause: short against the time in which a configuration must
/// be in force once the store is back.
const LONGEST_PAUSE: Duration = Duration::from_millis(700);

/// Outages shorter than this let no entry lapse: servers renew theirs about
/// each second, and three renewals must be missed.
const LEAST_OUTAGE: Duration = Duration::from_millis(1000);

/// What takes in a table's rows.
pub trait TableSink: Send + 'static {
    /// The whole table as of `version`.
    fn listed(&mut self, rows: Vec<StoreRow>, version: StoreVersion);
    /// Changes, in order.
    fn changed(&mut self, rows: Vec<StoreRow>);
    /// The store answers again after it did not.
    fn regained(&mut self) {}
    /// A call was answered, with or without changes.
    fn read(&mut self) {}
    /// How long the next feed call waits at the store; `base` is the
    /// follower's own wait.
    fn wait(&self, base: Duration) -> Duration {
        base
    }
    /// Resolves when the feed should be read at once, on a new connection.
    fn due(&self) -> Option<EventListener> {
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
    /// How long a feed call waits at the store, unless the sink says. Guards against a connection
    /// that has gone silent: it is found out within this time and a little,
    /// while a new one works.
    pub wait: Duration,
    /// The least time between calls: tables that change all the time are
    /// read in batches, which saves calls and costs at most this delay.
    pub pace: Duration,
}

impl<C: PlatformCodec, S: TableSink> TableFollower<C, S> {
    /// Follows the table for good.
    pub async fn run(mut self) {
        let mut position: Option<StoreVersion> = None;
        let mut failures: u32 = 0;
        let mut read_at = Instant::now();
        loop {
            let begun = Instant::now();
            let outage = if failures > 0 { read_at.elapsed() } else { Duration::ZERO };
            match self.step(position, outage).await {
                Ok(version) => {
                    if failures > 0 {
                        self.log_regained(failures, read_at);
                        failures = 0;
                    }
                    self.sink.read();
                    position = Some(version);
                    read_at = Instant::now();
                    self.mark_age(read_at);
                    smol::Timer::at(begun + self.pace).await;
                }
                Err(error) if error.is_history_gone() => position = None,
                Err(error) => {
                    if failures == 0 {
                        self.log_lost(&error, position, read_at);
                    }
                    failures += 1;
                    self.mark_age(read_at);
                    metrics::counter!("umberglade_store_failures_total").increment(1);
                    smol::Timer::after(pause(failures)).await;
                    // After an outage the whole table is read: the feed
                    // would tell nothing of entries that lapsed unseen.
                    if failures > 1 {
                        position = None;
                    }
                }
            }
        }
    }

    /// One call; `outage` is how long the store has not been read.
    async fn step(
        &mut self,
        position: Option<StoreVersion>,
        outage: Duration,
    ) -> Result<StoreVersion, FollowError> {
        match position {
            None => {
                let (rows, version) = self.client.list(self.table).await?;
                self.tell_regained(outage);
                self.sink.listed(rows, version);
                Ok(version)
            }
            Some(version) => {
                let batch = self.feed(version).await?;
                self.tell_regained(outage);
                if !batch.rows.is_empty() {
                    self.sink.changed(batch.rows);
                }
                Ok(batch.version.max(version))
            }
        }
    }

    /// A feed call. When a read falls due meanwhile, the call is begun anew on
    /// another connection: this one may have gone silent.
    async fn feed(&mut self, version: StoreVersion) -> Result<RowBatch, FollowError> {
        loop {
            let wait = self.sink.wait(self.wait);
            let due = self.sink.due();
            let feed = self.client.feed(self.table, version, wait);
            let Some(due) = due else { return feed.await };
            let cut = async {
                due.await;
                None
            };
            if let Some(batch) = async { Some(feed.await) }.or(cut).await {
                return batch;
            }
        }
    }

    fn tell_regained(&mut self, outage: Duration) {
        if outage >= LEAST_OUTAGE {
            self.sink.regained();
        }
    }

    fn log_regained(&self, failures: u32, read_at: Instant) {
        let outage_ms = read_at.elapsed().as_millis() as u64;
        tracing::info!(
            event = events::STORE_REGAINED,
            table = %self.table,
            failures,
            outage_ms,
            "store read again"
        );
    }

    fn log_lost(&self, error: &FollowError, position: Option<StoreVersion>, read_at: Instant) {
        let age_ms = read_at.elapsed().as_millis() as u64;
        tracing::warn!(
            event = events::STORE_LOST,
            table = %self.table,
            version = position.unwrap_or(0),
            age_ms,
            %error,
            "store not read; what is known stays in force"
        );
    }

    fn mark_age(&self, read_at: Instant) {
        let table = self.table.to_string();
        metrics::gauge!("umberglade_store_age_ms", "table" => table)
            .set(read_at.elapsed().as_millis() as f64);
    }
}

fn pause(failures: u32) -> Duration {
    let doubled = FIRST_PAUSE * 2u32.pow(failures.saturating_sub(1).min(4));
    doubled.min(LONGEST_PAUSE).mul_f64(0.75 + fastrand::f64() * 0.5)
}
