//! The tables that gateways read for each other, and the notices and rows they exchange about them.

use std::net::SocketAddr;
use std::time::Duration;
use std::time::Instant;

use async_channel::Receiver;
use async_channel::Sender;
use event_listener::Event;

use super::EncodedImage;
use super::ReadNoticeDetail;
use super::SharedTable;
use super::TableReadNotice;
use crate::cluster::NoticeRelay;
use crate::cluster::PeerReach;
use crate::cluster::ReadCost;
use crate::cluster::ReaderNotice;
use crate::cluster::RelayedNotice;
use crate::cluster::name_digest;
use crate::model::GatewaySettings;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::peers::TableRows;
use crate::state_lock::StateLock;
use crate::timing::boottime_clock;

/// Time within which a gateway that receives no reports knows of quarantined requests. Gateways
/// that receive each other's reports detect them by the failed attempts reported there.
const QUARANTINE_MAX_DELAY: Duration = Duration::from_secs(10);
/// Maximum number of reads whose changed rows wait to be sent to the peers.
const OUTGOING_ROWS_CAPACITY: usize = 16;

/// All shared tables, and the queue of rows to send to the peers.
#[derive(Debug)]
pub struct SharedTables {
    tables: [SharedTable; 3],
    outgoing_rows: (Sender<TableRows>, Receiver<TableRows>),
    relay: StateLock<NoticeRelay>,
    local_digest: u64,
    /// Random number that tells this process from the one before it.
    incarnation: u32,
    /// Notified when a peer may hold content that this gateway lacks.
    pub image_offered: Event,
}

impl SharedTables {
    /// Creates the shared tables of the gateway with `settings` and digest `local_digest`.
    pub fn new(local_digest: u64, settings: &GatewaySettings) -> Self {
        let configuration = (StoreTable::Configuration, settings.config_bound);
        let servers = (StoreTable::Servers, settings.drain_bound);
        let quarantines = (StoreTable::Quarantines, QUARANTINE_MAX_DELAY);
        SharedTables {
            tables: [configuration, servers, quarantines]
                .map(|(table, bound)| SharedTable::new(table, local_digest, bound)),
            outgoing_rows: async_channel::bounded(OUTGOING_ROWS_CAPACITY),
            relay: StateLock::default(),
            local_digest,
            incarnation: fastrand::u32(..),
            image_offered: Event::new(),
        }
    }

    /// Makes tables of which nothing is known wait for the peers' content until `until`.
    pub fn wait_for_peers(&self, until: Instant) {
        for shared_table in &self.tables {
            shared_table.readers().wait_for_peers(until);
            shared_table.rows_received.notify(usize::MAX);
        }
    }

    /// Returns the tables whose content gateways transfer to each other as rows.
    pub fn with_images(&self) -> impl Iterator<Item = &SharedTable> {
        self.tables.iter().filter(|shared_table| shared_table.has_images())
    }

    /// Returns the tables whose content this gateway can send to peers, and the store's versions up
    /// to which it knows them.
    pub fn offered(&self) -> Vec<(StoreTable, StoreStamp)> {
        let offer = |shared_table: &SharedTable| {
            let through = shared_table.readers().known_through()?;
            Some((shared_table.table, through))
        };
        self.with_images().filter_map(offer).collect()
    }

    /// Returns the rows of `table` that a peer with content up to `held` lacks, or all rows; `None`
    /// if this gateway does not know the table.
    pub fn image(
        &self,
        table: StoreTable,
        held: Option<StoreStamp>,
        now: Instant,
    ) -> Option<EncodedImage> {
        self.find(table)?.image(held, now)
    }

    /// Records the tables whose content `peer` at `address` can send.
    pub fn apply_peer_offer(
        &self,
        peer: u64,
        address: SocketAddr,
        tables: &[(StoreTable, StoreStamp)],
        is_same_domain: bool,
        now: Instant,
    ) {
        for shared_table in self.with_images() {
            let offer = tables.iter().find(|(table, _)| *table == shared_table.table);
            shared_table.apply_peer_offer(
                peer,
                address,
                offer.map(|(_, through)| *through),
                is_same_domain,
                now,
            );
        }
        if self.with_images().any(|shared_table| shared_table.wants_image(now)) {
            self.image_offered.notify(usize::MAX);
        }
    }

    /// Returns true if peers can send `table` and this gateway does not know it up to `through`.
    pub fn lacks(&self, table: StoreTable, through: StoreStamp) -> bool {
        let shared_table = self.find(table).filter(|shared_table| shared_table.has_images());
        shared_table.is_some_and(|table| table.readers().known_through() < Some(through))
    }

    /// Records that `reader` at `address` has read `table` up to `through`.
    pub fn apply_reader_offer(
        &self,
        table: StoreTable,
        reader: u64,
        address: SocketAddr,
        through: StoreStamp,
        is_same_domain: bool,
        now: Instant,
    ) {
        if let Some(shared_table) = self.find(table) {
            shared_table.apply_peer_offer(reader, address, Some(through), is_same_domain, now);
        }
    }

    /// Returns the reads of which a report tells this gateway's group.
    pub fn notices_for_group(&self, now: Instant) -> Vec<RelayedNotice> {
        let own = self.own_notices(now);
        let clock = boottime_clock();
        let mut relay = self.relay.lock();
        own.into_iter().for_each(|notice| relay.record_local(notice, clock));
        relay.take_for_group(clock)
    }

    /// Returns the reads of which a report tells a gateway of another group.
    pub fn notices_for_remote(&self, now: Instant) -> Vec<RelayedNotice> {
        let own = self.own_notices(now);
        let clock = boottime_clock();
        let mut relay = self.relay.lock();
        own.into_iter().for_each(|notice| relay.record_local(notice, clock));
        relay.for_remote(clock)
    }

    fn own_notices(&self, now: Instant) -> Vec<RelayedNotice> {
        let notice = |shared_table: &SharedTable| {
            shared_table.relayed_notice(self.local_digest, self.incarnation, now)
        };
        self.tables.iter().filter_map(notice).collect()
    }

    /// Applies a notice that a gateway at distance `from` has passed on. Returns the time of the
    /// read if it is news and shows that the content held here was the store's.
    pub fn apply_relayed_notice(
        &self,
        notice: RelayedNotice,
        from: PeerReach,
        now: Instant,
    ) -> Option<Instant> {
        if notice.reader == self.local_digest {
            return None;
        }
        let shared_table = self.find(notice.table)?;
        let is_news = self.relay.lock().record(notice, from, boottime_clock());
        if !is_news {
            return None;
        }
        let read_at = now.checked_sub(Duration::from_millis(notice.age_ms))?;
        let RelayedNotice { fingerprint, cost, through, reader, .. } = notice;
        let reader_notice = ReaderNotice { fingerprint, read_at, cost, through: Some(through) };
        let is_held = {
            let mut readers = shared_table.readers();
            readers.apply_peer_notice(reader, reader_notice);
            readers.holds(fingerprint)
        };
        if !is_held {
            self.image_offered.notify(usize::MAX);
        }
        is_held.then_some(read_at)
    }

    /// Returns the state of `table`.
    ///
    /// # Panics
    ///
    /// If `table` is not one of those that gateways read for each other.
    pub fn table(&self, table: StoreTable) -> &SharedTable {
        self.find(table).expect("a table that gateways read for each other")
    }

    /// Returns the notices about the tables that this gateway reads for its peers.
    pub fn notices(&self, now: Instant) -> Vec<TableReadNotice> {
        self.tables.iter().filter_map(|shared_table| shared_table.notice(now)).collect()
    }

    /// Returns the details of the notices.
    pub fn notice_details(&self, now: Instant) -> Vec<ReadNoticeDetail> {
        self.tables.iter().filter_map(|shared_table| shared_table.notice_detail(now)).collect()
    }

    /// Applies the notice that `peer` has read a table of the store.
    pub fn apply_peer_notice(
        &self,
        peer: &str,
        notice: TableReadNotice,
        detail: Option<ReadNoticeDetail>,
        now: Instant,
    ) {
        let Some(read_at) = now.checked_sub(Duration::from_millis(notice.age_ms)) else { return };
        let Some(shared_table) = self.find(notice.table) else { return };
        let default_cost = if notice.is_heavy { ReadCost::HEAVY } else { ReadCost::LIGHT };
        let notice = ReaderNotice {
            fingerprint: notice.fingerprint,
            read_at,
            cost: detail.map_or(default_cost, |detail| detail.cost),
            through: detail.map(|detail| detail.through),
        };
        shared_table.readers().apply_peer_notice(name_digest(peer), notice);
    }

    /// Queues changed rows that another gateway has read.
    pub fn apply_peer_rows(&self, received: TableRows) {
        if let Some(shared_table) = self.find(received.table) {
            shared_table.receive_rows(received.rows);
        }
    }

    /// Queues `rows` to be sent to the peers as the network allows. If the queue is full, the rows
    /// are dropped: the peers see by the fingerprint that they lack them, and read the store.
    pub fn send_rows(&self, table: StoreTable, rows: Vec<StoreRow>) {
        if self.outgoing_rows.0.try_send(TableRows { table, rows }).is_err() {
            metrics::counter!("umberglade_rows_untold_total").increment(1);
        }
    }

    /// Waits for the next rows to send to the peers.
    pub async fn next_outgoing_rows(&self) -> TableRows {
        self.outgoing_rows.1.recv().await.expect("a channel whose sender is kept")
    }

    fn find(&self, table: StoreTable) -> Option<&SharedTable> {
        self.tables.iter().find(|shared_table| shared_table.table == table)
    }
}
