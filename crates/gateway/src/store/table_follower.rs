//! Follows one table: a listing, then its changes.

use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;
use futures_lite::FutureExt;

use super::FollowError;
use super::StoreClient;
use super::TableSharing;
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

/// The pause after a first failed call, doubled with each in a row.
const FIRST_PAUSE: Duration = Duration::from_millis(100);
/// The longest pause: short against the time in which a configuration must
/// be in force once the store is back.
const MAX_PAUSE: Duration = Duration::from_millis(700);

/// Outages shorter than this let no entry lapse: servers renew theirs about
/// each second, and three renewals must be missed.
const MIN_OUTAGE: Duration = Duration::from_millis(1000);

/// What frames a row in the store's answers, in bytes.
const ROW_FRAME: usize = 40;

/// What takes in a table's rows.
pub trait TableSink: Send + 'static {
    /// The whole table as of `version`.
    fn listed(&mut self, rows: Vec<StoreRow>, version: StoreVersion);
    /// Changes, in order.
    fn changed(&mut self, rows: Vec<StoreRow>);
    /// A digest of what a row says, the same while it says nothing new; `None`
    /// when the row is gone.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest>;
    /// The store answers again after it did not.
    fn regained(&mut self) {}
    /// A call was answered, with or without changes.
    fn read(&mut self) {}
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
    /// How long a feed call waits at the store. Guards against a connection
    /// that has gone silent: it is found out within this time and a little,
    /// while a new one works.
    pub wait: Duration,
    /// The least time between calls: tables that change all the time are
    /// read in batches, which saves calls and costs at most this delay.
    pub pace: Duration,
    /// Set for tables that gateways read for each other.
    pub sharing: Option<TableSharing>,
}

impl<C: PlatformCodec, S: TableSink> TableFollower<C, S> {
    /// Follows the table for good.
    pub async fn run(mut self) {
        let mut position: Option<StoreVersion> = None;
        let mut failures: u32 = 0;
        let mut known_at = Instant::now();
        let mut is_told = false;
        loop {
            if let Some(until) = self.told_until() {
                // What others tell meanwhile is in no feed from here on.
                position = None;
                is_told = true;
                self.mark_age(self.known_at().unwrap_or(known_at));
                if !self.be_told(until).await {
                    continue;
                }
            }
            self.take_told();
            let begun = Instant::now();
            known_at = self.known_at().unwrap_or(known_at);
            // Others that fall silent may do so because the store did.
            let is_outage = failures > 0 || is_told;
            let outage = if is_outage { known_at.elapsed() } else { Duration::ZERO };
            is_told = false;
            match self.step(position, outage).await {
                Ok(version) => {
                    if failures > 0 {
                        self.log_regained(failures, known_at);
                        failures = 0;
                    }
                    self.sink.read();
                    position = Some(version);
                    known_at = Instant::now();
                    self.mark_age(known_at);
                    smol::Timer::at(begun + self.usual_pace()).await;
                }
                Err(error) if error.is_history_gone() => position = None,
                Err(error) => {
                    if failures == 0 {
                        self.log_lost(&error, position, known_at);
                    }
                    failures += 1;
                    self.mark_age(known_at);
                    metrics::counter!("umberglade_store_failures_total").increment(1);
                    if let Some(sharing) = &self.sharing {
                        sharing.note_failed();
                    }
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

    /// Until when what other gateways tell is enough; `None` when this one
    /// reads the store itself now.
    fn told_until(&mut self) -> Option<Instant> {
        match self.sharing.as_mut()?.turn() {
            ReadRole::Reader => None,
            ReadRole::Listener { until } => Some(until),
        }
    }

    /// Takes in what other gateways tell, until `until` at most; true when the
    /// store should be read all the same.
    async fn be_told(&mut self, until: Instant) -> bool {
        let Some(sharing) = &mut self.sharing else { return true };
        let news = sharing.news();
        if self.take_told() {
            return false;
        }
        let woken = async {
            news.await;
            false
        };
        let due = self.sink.due();
        let is_due = async {
            match due {
                Some(due) => due.await,
                None => std::future::pending().await,
            }
            true
        };
        with_deadline(until, woken.or(is_due)).await.unwrap_or(false)
    }

    /// Takes in rows that others told; true when some say something new. A gateway
    /// that reads the table too does not tell of them again.
    fn take_told(&mut self) -> bool {
        let Some(sharing) = &mut self.sharing else { return false };
        let rows = sharing.take_told(&self.sink);
        let has_news = !rows.is_empty();
        if has_news {
            self.sink.changed(rows);
        }
        has_news
    }

    /// One call; `outage` is how long the table's content has not been known.
    async fn step(
        &mut self,
        position: Option<StoreVersion>,
        outage: Duration,
    ) -> Result<StoreVersion, FollowError> {
        match position {
            None => {
                let (rows, version) = self.client.list(self.table).await?;
                self.tell_regained(outage);
                if let Some(sharing) = &mut self.sharing {
                    sharing.note_size(bytes_of(&rows), self.pace);
                    sharing.note_listed(&rows, version, &self.sink);
                }
                self.sink.listed(rows, version);
                Ok(version)
            }
            Some(version) => {
                let batch = self.feed(version).await?;
                self.tell_regained(outage);
                if let Some(sharing) = &mut self.sharing {
                    sharing.note_size(bytes_of(&batch.rows), self.pace);
                    sharing.note_changed(&batch.rows, &self.sink);
                }
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
        let wait = self.shortened(self.wait);
        loop {
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

    /// The least time between two calls here.
    fn usual_pace(&self) -> Duration {
        self.shortened(self.pace)
    }

    /// Half of `time` where this gateway reads for others too: what they know
    /// is older by a report.
    fn shortened(&self, time: Duration) -> Duration {
        let is_shared = self.sharing.as_ref().is_some_and(TableSharing::is_shared);
        if is_shared { time / 2 } else { time }
    }

    /// When the content held here was last the store's, by our own reads or
    /// what others told.
    fn known_at(&self) -> Option<Instant> {
        self.sharing.as_ref().and_then(TableSharing::known_at)
    }

    fn tell_regained(&mut self, outage: Duration) {
        if outage >= MIN_OUTAGE {
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

/// About what `rows` take on the way, by their values.
pub(super) fn bytes_of(rows: &[StoreRow]) -> usize {
    let value = |row: &StoreRow| match &row.value {
        RowValue::Held(value) => value.len() * 4 / 3,
        RowValue::Removed | RowValue::Unreadable(_) => 0,
    };
    rows.iter().map(|row| value(row) + row.key.len() + ROW_FRAME).sum()
}

fn pause(failures: u32) -> Duration {
    let doubled = FIRST_PAUSE * 2u32.pow(failures.saturating_sub(1).min(4));
    doubled.min(MAX_PAUSE).mul_f64(0.75 + fastrand::f64() * 0.5)
}
