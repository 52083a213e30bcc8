//! Fetches newer configurations from peers.
//!
//! Most gateways do not read the store; some cannot. They learn from reports that there is a newer
//! configuration, and fetch what has changed from any peer that has it. A transfer that is cut
//! short is resumed, at the same peer or another one.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use futures_lite::AsyncReadExt;
use smol::net::TcpStream;

use super::config_messages::ConfigReply;
use super::config_messages::ConfigRequest;
use super::config_messages::PartHead;
use super::config_messages::PartialPart;
use super::config_messages::read_message;
use super::config_messages::write_message;
use crate::cluster::ConfigPart;
use crate::cluster::SourceChoice;
use crate::events;
use crate::framing::invalid;
use crate::model::ConfigId;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// How long a gateway that reads the store waits for its own read before it fetches from a peer.
const STORE_READ_DELAY: Duration = Duration::from_millis(250);
/// Time limit for connecting and receiving the reply.
const REPLY_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long a transfer may take at one peer before it goes on at another one.
const SOURCE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Mean time for which a peer is not asked again after it was busy, or sent what is not needed any
/// more.
const BUSY_REST: Duration = Duration::from_millis(60);
/// Time for which a peer is not asked again after it had nothing newer.
const NOTHING_NEWER_REST: Duration = Duration::from_millis(250);
/// Time for which a peer is not asked again after a failure.
const FAILURE_REST: Duration = Duration::from_millis(500);
/// Maximum size of a part, in bytes.
const MAX_PART_BYTES: u64 = 64 * 1024 * 1024;
/// Number of bytes read at a time.
const CHUNK_BYTES: usize = 32 * 1024;

/// What a peer answered.
enum FetchOutcome {
    Part(ConfigPart),
    Busy,
    NothingNewer,
}

/// A part of which the beginning has arrived.
#[derive(Debug)]
struct ReceivedPart {
    head: PartHead,
    bytes: Vec<u8>,
}

impl ReceivedPart {
    fn id(&self) -> PartialPart {
        let PartHead { from, to, .. } = self.head;
        PartialPart { from, to, received: self.bytes.len() as u64 }
    }
}

/// Fetches configurations for one gateway.
struct ConfigFetcher {
    state: Arc<GatewayState>,
    /// What arrived before the last transfer was cut short.
    partial: Option<ReceivedPart>,
    /// True after a change could not be applied: a whole configuration is fetched next.
    wants_whole: bool,
}

/// Fetches each newer configuration that peers report, until the process stops.
pub async fn fetch_newer_configs(state: Arc<GatewayState>) {
    let mut fetcher = ConfigFetcher { state, partial: None, wants_whole: false };
    loop {
        let offered = fetcher.state.config_offered.listen();
        match fetcher.choose_source() {
            SourceChoice::Ask { peer, address, id } => fetcher.fetch(peer, address, id).await,
            SourceChoice::Wait(until) => drop(smol::Timer::at(until).await),
            SourceChoice::None => {
                fetcher.partial = None;
                offered.await;
                if fetcher.is_reader() {
                    smol::Timer::after(STORE_READ_DELAY).await;
                }
            }
        }
    }
}

impl ConfigFetcher {
    fn is_reader(&self) -> bool {
        self.state.shared_tables.table(StoreTable::Configuration).readers().is_reader()
    }

    fn held(&self) -> Option<ConfigId> {
        self.state.config().map(|config| config.id)
    }

    fn choose_source(&self) -> SourceChoice {
        let held = self.held();
        let draw = fastrand::usize(..);
        self.state.with_config_sources(|sources| sources.choose(held, draw, Instant::now()))
    }

    /// Fetches one part from `peer`, which has configuration `offered`.
    async fn fetch(&mut self, peer: u64, address: SocketAddr, offered: ConfigId) {
        let started_at = Instant::now();
        let resumed_at = self.partial.as_ref().map_or(0, |partial| partial.bytes.len());
        let fetched = self.fetch_part(address).await;
        let bytes = match &fetched {
            Ok(FetchOutcome::Part(part)) => part.bytes.len(),
            _ => self.partial.as_ref().map_or(0, |partial| partial.bytes.len()),
        };
        let (outcome, rest) = match fetched {
            Ok(FetchOutcome::Part(part)) => self.apply(part),
            Ok(FetchOutcome::Busy) => ("busy".to_owned(), BUSY_REST.mul_f64(0.5 + fastrand::f64())),
            Ok(FetchOutcome::NothingNewer) => ("no newer one".to_owned(), NOTHING_NEWER_REST),
            Err(error) => (error.to_string(), FAILURE_REST),
        };
        self.state.with_config_sources(|sources| sources.rest(peer, rest, Instant::now()));
        tracing::info!(
            event = events::CONFIG_TRANSFERRED,
            peer = %address,
            heard = offered.version,
            own = self.state.config_version(),
            bytes,
            resumed_at,
            elapsed_ms = started_at.elapsed().as_millis() as u64,
            outcome,
            "configuration requested from a peer"
        );
    }

    /// Applies a complete part. Returns the outcome for the log, and how long the peer rests.
    fn apply(&mut self, part: ConfigPart) -> (String, Duration) {
        self.wants_whole = false;
        match self.state.apply_config_part(part) {
            Ok(true) => ("taken".to_owned(), Duration::ZERO),
            Ok(false) => ("overtaken".to_owned(), BUSY_REST),
            Err(error) => {
                self.wants_whole = true;
                (error.to_string(), FAILURE_REST)
            }
        }
    }

    async fn fetch_part(&mut self, address: SocketAddr) -> io::Result<FetchOutcome> {
        let held = self.held().filter(|_| !self.wants_whole);
        let partial = self.partial.as_ref().map(ReceivedPart::id);
        let request = ConfigRequest { held, partial };
        let reply = async {
            let mut stream = TcpStream::connect(address).await?;
            write_message(&mut stream, &request).await?;
            let reply = read_message(&mut stream).await?;
            Ok::<_, io::Error>((stream, reply))
        };
        let reply = with_deadline(Instant::now() + REPLY_TIMEOUT, reply).await;
        let (mut stream, reply) = reply.unwrap_or_else(|| Err(timed_out()))?;
        let head = match reply {
            ConfigReply::Busy => return Ok(FetchOutcome::Busy),
            ConfigReply::NothingNewer => return Ok(FetchOutcome::NothingNewer),
            ConfigReply::Part(head) => head,
        };
        self.begin_part(head)?;
        let due = Instant::now() + SOURCE_TIMEOUT;
        let received = with_deadline(due, self.receive(&mut stream)).await;
        received.unwrap_or_else(|| Err(timed_out()))?;
        self.finish_part().map(FetchOutcome::Part)
    }

    /// Prepares to receive the part that `head` describes, after what has arrived of it.
    fn begin_part(&mut self, head: PartHead) -> io::Result<()> {
        let known = self.partial.take().filter(|partial| partial.head.is_same_part(&head));
        let mut bytes = known.map_or_else(Vec::new, |partial| partial.bytes);
        if head.total > MAX_PART_BYTES || head.offset > bytes.len() as u64 {
            return Err(invalid("the peer sends a part of the wrong size"));
        }
        bytes.truncate(head.offset as usize);
        self.partial = Some(ReceivedPart { head, bytes });
        Ok(())
    }

    async fn receive(&mut self, stream: &mut TcpStream) -> io::Result<()> {
        let Some(part) = &mut self.partial else { return Ok(()) };
        let mut chunk = vec![0; CHUNK_BYTES];
        while (part.bytes.len() as u64) < part.head.total {
            let missing = part.head.total - part.bytes.len() as u64;
            let wanted = missing.min(CHUNK_BYTES as u64) as usize;
            let count = stream.read(&mut chunk[..wanted]).await?;
            if count == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            part.bytes.extend_from_slice(&chunk[..count]);
        }
        Ok(())
    }

    fn finish_part(&mut self) -> io::Result<ConfigPart> {
        let Some(ReceivedPart { head, bytes }) = self.partial.take() else {
            return Err(invalid("no part was received"));
        };
        let PartHead { from, to, row_bytes, checksum, .. } = head;
        let part = ConfigPart::new(from, to, row_bytes as usize, bytes.into());
        if part.checksum != checksum {
            return Err(invalid("a part has the wrong checksum"));
        }
        Ok(part)
    }
}

fn timed_out() -> io::Error {
    io::ErrorKind::TimedOut.into()
}
