//! Follows one table of the store: lists it, then waits for its changes.

use std::time::Duration;
use std::time::Instant;

use event_listener::EventListener;
use futures_lite::FutureExt;

use super::StoreError;
use super::TableCoordinator;
use super::TableReader;
use super::TableSink;
use super::read_progress::ReadProgress;
use super::relist_wait::POLL_INTERVAL;
use super::relist_wait::RelistWait;
use super::relist_wait::retry_delay;
use super::row_size::estimated_bytes;
use super::table_reader::TableRead;
use crate::cluster::ReadRole;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::StoreEra;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::timing::with_deadline;

/// Outages shorter than this let no entry expire: servers renew theirs about each second, and an
/// entry expires after three missed renewals.
const MIN_OUTAGE: Duration = Duration::from_millis(1000);

/// Keeps a sink up to date with one table until the process stops. The sink keeps its state while
/// the store can't be read.
#[derive(Debug)]
pub struct TableFollower<C, S> {
    pub reader: TableReader<C>,
    pub table: StoreTable,
    pub sink: S,
    /// How long a feed call waits at the store. Bounds the time for which a silent connection goes
    /// unnoticed: it is detected shortly after this time, and replaced by a new one.
    pub feed_wait: Duration,
    /// Minimum interval between calls: the changes of tables that change all the time are read in
    /// batches, which saves calls and costs at most this delay.
    pub min_interval: Duration,
    /// Outages of the store that are shorter let no row expire.
    pub expiry_time: Duration,
    /// Set for tables that gateways read for each other.
    pub coordinator: Option<TableCoordinator>,
    /// The version from which the feed goes on if the sink holds the table already.
    pub initial_position: Option<StoreStamp>,
}

impl<C: PlatformCodec, S: TableSink> TableFollower<C, S> {
    /// Follows the table until the process stops.
    pub async fn run(mut self) {
        let mut progress = ReadProgress::new(Instant::now());
        progress.position = self.initial_position;
        loop {
            if let Some(until) = self.listen_until() {
                self.reader.abandon();
                progress.begin_listening();
                self.record_age(self.known_at().unwrap_or(progress.known_at));
                if !self.apply_peer_rows_until(until).await {
                    continue;
                }
            }
            self.apply_peer_rows();
            progress.known_at = self.known_at().unwrap_or(progress.known_at);
            progress.list_if_settled(Instant::now());
            if progress.position.is_none() && !progress.must_list {
                progress.position = self.resume_position();
            }
            if progress.must_list && self.leaves_listing_to_peers(&progress).await {
                continue;
            }
            self.read_once(&mut progress).await;
        }
    }

    /// Makes one read of the store, and waits until the next one is due.
    async fn read_once(&mut self, progress: &mut ReadProgress) {
        let started_at = Instant::now();
        progress.held_era = progress.held_era.or(self.held_era());
        // Listens from before the read, which may not show what fires the trigger.
        let read_trigger = self.sink.read_trigger();
        let outage = progress.outage();
        match self.read_store(progress, outage).await {
            Ok(ReadStep::Done(through)) => {
                if progress.is_out() {
                    self.log_available(progress.failures, progress.known_at);
                }
                self.sink.record_read();
                let has_expired_rows =
                    outage >= self.expiring_outage(progress) && self.sink.has_expiring_rows();
                progress.record_read(through, has_expired_rows);
                self.record_age(progress.known_at);
                wait_until(started_at + self.read_interval(), read_trigger).await;
            }
            Ok(ReadStep::Late) => {
                if !progress.is_out() {
                    self.log_unavailable(&StoreError::Late, progress);
                }
                progress.record_late();
                self.record_age(progress.known_at);
            }
            Ok(ReadStep::Interrupted) => {}
            Ok(ReadStep::EraChanged) => progress.list_next(),
            Err(error) if error.is_history_expired() => progress.list_next(),
            Err(error) => self.record_failure(&error, progress).await,
        }
    }

    /// Records a failed read, and waits until the next one is due.
    async fn record_failure(&mut self, error: &StoreError, progress: &mut ReadProgress) {
        if !progress.is_out() {
            self.log_unavailable(error, progress);
        }
        progress.record_failure(Instant::now());
        self.record_age(progress.known_at);
        metrics::counter!("umberglade_store_failures_total").increment(1);
        if let Some(coordinator) = &self.coordinator {
            coordinator.record_failure();
        }
        smol::Timer::after(retry_delay(progress.failures, fastrand::f64())).await;
        if progress.failures > 1 && self.sink.has_expiring_rows() {
            progress.list_next();
        }
    }

    /// Returns the version from which the feed reports all that is not known here; `None` if no
    /// number of the present era is known.
    fn resume_position(&self) -> Option<StoreStamp> {
        let coordinator = self.coordinator.as_ref()?;
        let era = coordinator.store_era();
        let is_of_era = |stamp: &StoreStamp| stamp.written_era() == era;
        let known_through = coordinator.known_through().filter(is_of_era);
        let transferred = self.sink.transferable_row().map(|row| row.stamp);
        known_through.max(transferred.filter(is_of_era))
    }

    /// Returns the time without content from which on rows may have expired unnoticed. Peers that
    /// stop sending notices have mostly died, and rows expire only while the store is not
    /// available.
    fn expiring_outage(&self, progress: &ReadProgress) -> Duration {
        if progress.is_out() { MIN_OUTAGE } else { MIN_OUTAGE.max(self.expiry_time) }
    }

    /// Waits a moment before the table is listed again, and returns true if peers read it by then.
    /// A gateway that has relied on its peers until now waits the longer the more of them precede
    /// it.
    ///
    /// Prevents hundreds of gateways from listing thousands of rows at the end of an outage, in
    /// which each of them has tried to read, or when the store has dropped its history: the few that
    /// go on reading are enough.
    async fn leaves_listing_to_peers(&mut self, progress: &ReadProgress) -> bool {
        let Some(coordinator) = &self.coordinator else { return false };
        let is_present_era = progress.held_era == Some(coordinator.store_era());
        if !coordinator.is_shared() || !is_present_era {
            return false;
        }
        if progress.is_listing_late {
            // The listing is under way, and each further call waits for its pace.
            return self.listen_until().is_some();
        }
        let relist_wait = RelistWait {
            bound: coordinator.bound(),
            rank_fraction: progress.was_listener().then(|| coordinator.rank_fraction()),
            failed_at: progress.failed_at,
        };
        let due = relist_wait.ends_at(fastrand::f64(), Instant::now());
        while Instant::now() < due {
            if self.listen_until().is_some() {
                return true;
            }
            self.apply_peer_rows();
            smol::Timer::at(due.min(Instant::now() + POLL_INTERVAL)).await;
        }
        self.listen_until().is_some()
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
        if let Some(row) = self.sink.transferable_row() {
            coordinator.record_transferable(&row, self.min_interval);
        }
        let has_image = apply_image(coordinator, &mut self.sink);
        let rows = coordinator.take_new_peer_rows(&self.sink);
        let has_updates = !rows.is_empty();
        if has_updates {
            self.sink.apply_changes(rows);
        }
        has_image || has_updates
    }

    /// Makes one call to the store. `outage` is the time for which the table's content was not
    /// known.
    async fn read_store(
        &mut self,
        progress: &ReadProgress,
        outage: Duration,
    ) -> Result<ReadStep, StoreError> {
        let ReadProgress { position, held_era, .. } = *progress;
        let Some(read) = self.next_read(position).await? else { return Ok(ReadStep::Interrupted) };
        match read {
            TableRead::Late => Ok(ReadStep::Late),
            TableRead::EraChanged => Ok(ReadStep::EraChanged),
            TableRead::Listing { rows, through } => {
                if held_era.is_some_and(|held| held != through.seen_era()) {
                    self.sink.store_copied();
                } else {
                    self.notify_available(outage);
                }
                self.record_size(&rows);
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.record_listing(&rows, through, &self.sink);
                }
                self.sink.apply_listing(rows, through);
                Ok(ReadStep::Done(through))
            }
            TableRead::Changes(batch) => {
                let through = position.max(Some(batch.through)).unwrap_or(batch.through);
                self.notify_available(outage);
                self.record_size(&batch.rows);
                if let Some(coordinator) = &mut self.coordinator {
                    coordinator.record_changes(&batch.rows, through, &self.sink);
                }
                if !batch.rows.is_empty() {
                    self.sink.apply_changes(batch.rows);
                }
                Ok(ReadStep::Done(through))
            }
        }
    }

    /// Records what reading `rows` costs. The cost of a transferable row is known by its size.
    fn record_size(&self, rows: &[StoreRow]) {
        if self.sink.transferable_row().is_some() {
            return;
        }
        if let Some(coordinator) = &self.coordinator {
            coordinator.record_size(estimated_bytes(rows), self.min_interval);
        }
    }

    /// Waits for the next response of the store. Returns `None` if peers have sent rows meanwhile,
    /// which must not wait for a late response; the calls under way go on.
    async fn next_read(
        &mut self,
        position: Option<StoreStamp>,
    ) -> Result<Option<TableRead>, StoreError> {
        let rows_received = self.coordinator.as_ref().map(TableCoordinator::rows_received);
        let interrupted = async {
            match rows_received {
                Some(rows_received) => rows_received.await,
                None => std::future::pending().await,
            }
            Ok(None)
        };
        let read = async {
            let read = match position {
                Some(position) => self.feed(position).await,
                None => self.reader.list().await,
            };
            read.map(Some)
        };
        read.or(interrupted).await
    }

    /// Makes a feed call. If the sink's trigger fires meanwhile, another one is started on another
    /// connection: the present one may be silent.
    async fn feed(&mut self, position: StoreStamp) -> Result<TableRead, StoreError> {
        let feed_wait = self.halved_if_shared(self.feed_wait);
        loop {
            let Some(read_trigger) = self.sink.read_trigger() else {
                return self.reader.feed(position, feed_wait).await;
            };
            let interrupted = async {
                read_trigger.await;
                None
            };
            let feed = self.reader.feed(position, feed_wait);
            if let Some(read) = async { Some(feed.await) }.or(interrupted).await {
                return read;
            }
            self.reader.start_feed(position, feed_wait);
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

    /// Returns the era of the store from which the content is that peers have sent.
    fn held_era(&self) -> Option<StoreEra> {
        self.coordinator.as_ref().and_then(TableCoordinator::held_era)
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

    fn log_unavailable(&self, error: &StoreError, progress: &ReadProgress) {
        let age_ms = progress.known_at.elapsed().as_millis() as u64;
        tracing::warn!(
            event = events::STORE_UNAVAILABLE,
            table = %self.table,
            version = progress.position.map_or(0, |position| position.version()),
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

/// Applies the content that a peer has sent. Returns true if there was any.
fn apply_image(coordinator: &mut TableCoordinator, sink: &mut impl TableSink) -> bool {
    let Some(image) = coordinator.take_peer_image() else { return false };
    let (is_first, through) = (coordinator.is_empty(), image.through);
    let rows = coordinator.record_image(image, sink);
    if is_first {
        sink.apply_listing(rows, through);
    } else {
        sink.apply_changes(rows);
    }
    sink.content_received();
    true
}

/// The outcome of one read.
enum ReadStep {
    /// All changes up to this stamp are known.
    Done(StoreStamp),
    /// No response yet.
    Late,
    /// Peers have sent rows.
    Interrupted,
    /// The store has come back from a copy.
    EraChanged,
}

/// Waits until `due`, or until `read_trigger` fires.
async fn wait_until(due: Instant, read_trigger: Option<EventListener>) {
    match read_trigger {
        Some(read_trigger) => drop(with_deadline(due, read_trigger).await),
        None => drop(smol::Timer::at(due).await),
    }
}
