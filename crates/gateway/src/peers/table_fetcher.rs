//! Fetches the content of tables from peers.
//!
//! Most gateways do not read the store. One that has just started, or that lacks what peers have
//! read, takes the rows from any peer that has them. A transfer that is cut short is resumed, at the
//! same peer or another one.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use smol::net::TcpStream;

use super::transfer_messages::PartialContent;
use super::transfer_messages::TableHead;
use super::transfer_messages::TransferReply;
use super::transfer_messages::TransferRequest;
use super::transfer_messages::ask;
use super::transfer_messages::receive;
use crate::events;
use crate::framing::invalid;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::SharedTable;
use crate::store::TableImage;
use crate::store::decode_rows;
use crate::timing::with_deadline;

/// Interval at which content that is wanted is looked for.
const POLL_INTERVAL: Duration = Duration::from_millis(60);
/// How long rows from peers are waited for before content that differs is looked at again.
const SETTLING_TIME: Duration = Duration::from_millis(350);
/// Time limit for connecting and receiving the reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a transfer may take at one peer before it goes on at another one.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(2500);
/// Mean time for which a busy peer is not asked again.
const BUSY_REST: Duration = Duration::from_millis(150);
/// Time for which a peer that could not help is not asked again.
const FAILURE_REST: Duration = Duration::from_millis(1000);
/// Time for which a peer that has sent its content is not asked again.
const RECEIVED_REST: Duration = Duration::from_millis(400);
/// Maximum size of encoded content, in bytes.
const MAX_CONTENT_BYTES: u64 = 64 * 1024 * 1024;

/// What a peer answered.
enum FetchOutcome {
    Image(TableImage),
    Busy,
    Unknown,
}

/// Content of which the beginning has arrived.
#[derive(Debug)]
struct ReceivedContent {
    checksum: u64,
    bytes: Vec<u8>,
}

/// Fetches the content of one table.
#[derive(Debug)]
struct TableFetcher {
    table: StoreTable,
    partial: Option<ReceivedContent>,
}

/// Fetches content that peers have and this gateway lacks, until the process stops.
pub async fn fetch_tables(state: Arc<GatewayState>) {
    let mut fetchers: Vec<TableFetcher> =
        state.shared_tables.with_images().map(|table| TableFetcher::new(table.table)).collect();
    loop {
        let offered = state.shared_tables.image_offered.listen();
        let mut is_wanted = false;
        for fetcher in &mut fetchers {
            is_wanted |= fetcher.fetch_if_wanted(&state).await;
        }
        if is_wanted {
            smol::Timer::after(POLL_INTERVAL).await;
            continue;
        }
        offered.await;
        let wants = |table: &SharedTable| {
            table.wants_image(Instant::now()) && table.matches_era(state.store_eras.current())
        };
        if !state.shared_tables.with_images().any(wants) {
            smol::Timer::after(SETTLING_TIME).await;
        }
    }
}

impl TableFetcher {
    fn new(table: StoreTable) -> Self {
        TableFetcher { table, partial: None }
    }

    /// Asks one peer if this gateway lacks content. Returns true if it does.
    async fn fetch_if_wanted(&mut self, state: &GatewayState) -> bool {
        let now = Instant::now();
        let shared_table = state.shared_tables.table(self.table);
        let era = state.store_eras.current();
        if !shared_table.wants_image(now) || !shared_table.matches_era(era) {
            self.partial = None;
            return false;
        }
        let held = shared_table.readers().known_through();
        let source = shared_table.sources().choose(held, fastrand::usize(..), now);
        if let Some((peer, address)) = source {
            let rest = self.fetch(state, shared_table, address).await;
            shared_table.sources().rest(peer, rest, Instant::now());
        }
        true
    }

    /// Asks the peer at `address`. Returns for how long it is not to be asked again.
    async fn fetch(
        &mut self,
        state: &GatewayState,
        shared_table: &SharedTable,
        address: SocketAddr,
    ) -> Duration {
        let started_at = Instant::now();
        let resumed_at = self.received_bytes();
        let fetched = self.fetch_content(shared_table, address).await;
        let bytes = self.received_bytes();
        let (outcome, rest) = match fetched {
            Ok(FetchOutcome::Image(image)) => {
                self.partial = None;
                shared_table.receive_image(image);
                ("received".to_owned(), RECEIVED_REST)
            }
            Ok(FetchOutcome::Busy) => ("busy".to_owned(), BUSY_REST.mul_f64(0.5 + fastrand::f64())),
            Ok(FetchOutcome::Unknown) => ("not known there".to_owned(), FAILURE_REST),
            Err(error) => (error.to_string(), FAILURE_REST),
        };
        tracing::info!(
            event = events::TABLE_REQUESTED,
            peer = %address,
            table = %self.table,
            bytes,
            resumed_at,
            elapsed_ms = started_at.elapsed().as_millis() as u64,
            outcome,
            instance = %state.settings.instance,
            "content of a table requested from a peer"
        );
        rest
    }

    fn received_bytes(&self) -> usize {
        self.partial.as_ref().map_or(0, |partial| partial.bytes.len())
    }

    async fn fetch_content(
        &mut self,
        shared_table: &SharedTable,
        address: SocketAddr,
    ) -> io::Result<FetchOutcome> {
        let held = shared_table.transfer_position();
        let partial = self.partial.as_ref().map(|partial| PartialContent {
            checksum: partial.checksum,
            received: partial.bytes.len() as u64,
        });
        let request = TransferRequest::Table { table: self.table, held, partial };
        let (mut stream, reply) = ask(address, &request, Instant::now() + REPLY_TIMEOUT).await?;
        match reply {
            TransferReply::Busy => Ok(FetchOutcome::Busy),
            TransferReply::Unknown => Ok(FetchOutcome::Unknown),
            TransferReply::Content { table: Some(head), total, offset, checksum } => {
                self.begin(total, offset, checksum)?;
                self.receive(&mut stream, total).await?;
                self.finish(head).map(FetchOutcome::Image)
            }
            TransferReply::Content { table: None, .. } => {
                Err(invalid("not the content of a table"))
            }
        }
    }

    /// Prepares to receive content, after what has arrived of it.
    fn begin(&mut self, total: u64, offset: u64, checksum: u64) -> io::Result<()> {
        let known = self.partial.take().filter(|partial| partial.checksum == checksum);
        let mut bytes = known.map_or_else(Vec::new, |partial| partial.bytes);
        if total > MAX_CONTENT_BYTES || offset > bytes.len() as u64 {
            return Err(invalid("the peer sends content of the wrong size"));
        }
        bytes.truncate(offset as usize);
        self.partial = Some(ReceivedContent { checksum, bytes });
        Ok(())
    }

    async fn receive(&mut self, stream: &mut TcpStream, total: u64) -> io::Result<()> {
        let Some(partial) = &mut self.partial else { return Ok(()) };
        let due = Instant::now() + SOURCE_TIMEOUT;
        let received = receive(stream, &mut partial.bytes, total as usize);
        let received = with_deadline(due, received).await;
        received.unwrap_or_else(|| Err(io::ErrorKind::TimedOut.into()))
    }

    fn finish(&mut self, head: TableHead) -> io::Result<TableImage> {
        let Some(ReceivedContent { checksum, bytes }) = self.partial.take() else {
            return Err(invalid("no content was received"));
        };
        if umberglade_wire::digest(&bytes) != checksum {
            return Err(invalid("content has the wrong checksum"));
        }
        let rows = decode_rows(&bytes).ok_or_else(|| invalid("malformed rows"))?;
        let TableHead { is_whole, fingerprint, through, age_ms } = head;
        let age = Duration::from_millis(age_ms);
        Ok(TableImage { is_whole, fingerprint, through, age, rows })
    }
}
