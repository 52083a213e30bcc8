//! Messages between gateways.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use super::MemberRecord;
use super::MemberSummary;
use crate::cluster::BackoffUpdate;
use crate::cluster::ChargeUpdate;
use crate::cluster::EngineEstimates;
use crate::cluster::LimitUpdate;
use crate::cluster::LoadShare;
use crate::cluster::OrganisationDigest;
use crate::cluster::OutcomeUpdate;
use crate::cluster::PeerReach;
use crate::cluster::QueueUpdate;
use crate::cluster::RelayedNotice;
use crate::cluster::RetryCount;
use crate::cluster::StreamOrigin;
use crate::cluster::TunnelOffer;
use crate::model::ConfigId;
use crate::model::ConfigVersion;
use crate::model::ServerIncarnation;
use crate::model::StoreEra;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::store::ReadNoticeDetail;
use crate::store::TableReadNotice;

/// A gateway's load at each server that has any, and the other updates for its peers.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub peer: String,
    /// Random number drawn at each start of the process.
    pub incarnation: u64,
    /// Increases with each report of an incarnation.
    pub sequence: u64,
    /// The gateways that the report is written for.
    pub reach: PeerReach,
    /// Load by server digest.
    pub loads: Vec<(u64, LoadShare)>,
    /// Requests and retries in the last window, by service digest.
    pub retries: Vec<(u64, RetryCount)>,
    /// Servers that this gateway has ejected after failures of local requests.
    pub aside: Vec<u64>,
    /// Requests queued for engine capacity, by service digest.
    pub lines: Vec<(u64, QueueUpdate)>,
    /// Milliseconds for which this gateway has read the server table without an outage.
    pub store_calm_ms: u64,
    /// Engines that this gateway has instructed to change their stage.
    pub changing: Vec<u64>,
    /// This gateway's estimates of engines, by service; `None` in most reports, since they change
    /// slowly.
    pub learned: Option<Vec<(u64, EngineEstimates)>>,
    /// Version of the configuration in force at this gateway; 0 if it has none.
    pub config: ConfigVersion,
    /// Tables of the store that this gateway reads for its peers.
    pub tables: Vec<TableReadNotice>,
    /// Units charged to organisations' quotas since this incarnation started, by digest of the
    /// organisation's name.
    pub charges: Vec<(OrganisationDigest, ChargeUpdate)>,
    /// Milliseconds for which this incarnation has run.
    pub age_ms: u64,
    /// Outcomes of attempts with request fingerprints that may crash servers.
    pub outcomes: Vec<OutcomeUpdate>,
    /// Rate limits that servers state.
    pub limits: Vec<LimitUpdate>,
    /// Servers that have announced that they are draining.
    pub departures: Vec<ServerIncarnation>,
    /// Backoffs that servers request from this gateway, and from gateways that have just started.
    pub backoffs: Vec<BackoffUpdate>,
}

/// Rows of one table that one gateway has read and whose content has changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRows {
    pub table: StoreTable,
    pub rows: Vec<StoreRow>,
}

/// What follows a report in its datagram. Gateways of the previous build ignore it and send none.
#[derive(Debug, Clone, Default, PartialEq, Serialize, Deserialize)]
pub struct ReportTail {
    /// The configuration that the sender transfers to peers that ask.
    pub config: Option<ConfigId>,
    /// Details of the notices in [`LoadReport::tables`].
    pub reads: Vec<ReadNoticeDetail>,
    /// The store's era, as far as the sender knows.
    pub era: StoreEra,
    /// Milliseconds since the sender learned that the store had come back from a copy in this era.
    pub era_age_ms: Option<u64>,
    /// The eras of the message's stamps, which contain only their numbers, in order.
    pub written_eras: Vec<StoreEra>,
}

/// What follows the tail in a datagram: what gateways pass on for each other. Gateways of the
/// previous build ignore it and send none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RelayPart {
    /// Reads of tables, the sender's own ones among them.
    pub notices: Vec<RelayedNotice>,
    /// The gateways that the sender knows.
    pub members: MemberSummary,
    /// Gateways that have become known to the sender lately.
    pub joined: Vec<MemberRecord>,
    /// True if the sender has no work and reports to its group less often meanwhile.
    pub is_quiet: bool,
    /// Tables of which the sender can transfer the content, and the store's versions up to which it
    /// knows them.
    pub tables: Vec<(StoreTable, StoreStamp)>,
    /// Set if the receiver is to pass the rows in the datagram on in its failure domain: the digest
    /// of the gateway of that domain that got them first.
    pub rows_from: Option<u64>,
}

/// What follows the offer of tunnels in a datagram. Gateways of the previous build ignore it and send
/// none.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsagePart {
    /// Requests and retries since this incarnation started, in the order of
    /// [`LoadReport::retries`].
    pub retry_totals: Vec<RetryCount>,
}

/// A decoded datagram.
#[derive(Debug, Clone, PartialEq)]
pub struct Datagram {
    pub message: PeerMessage,
    pub tail: ReportTail,
    /// `None` from gateways of older builds.
    pub relay: Option<RelayPart>,
    /// `None` from gateways of the previous build.
    pub tunnel: Option<TunnelOffer>,
    /// `None` from gateways of the previous build.
    pub usage: Option<UsagePart>,
}

/// Content of a datagram between gateways.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Load(Box<LoadReport>),
    Rows(TableRows),
    /// The versions that began streams. Gateways of the previous build can't decode this.
    Origins(Vec<StreamOrigin>),
}

impl PeerMessage {
    /// Encodes the message and `tail` as one datagram.
    pub fn encode(&mut self, tail: &ReportTail) -> Vec<u8> {
        let written_eras = self.stamps().map(|stamp| stamp.written_era()).collect();
        let tail = ReportTail { written_eras, ..tail.clone() };
        let mut bytes = postcard::to_allocvec(self).expect("encoding plain fields");
        bytes.extend(postcard::to_allocvec(&tail).expect("encoding plain fields"));
        bytes
    }

    /// Encodes the message, `tail` and `relay` as one datagram.
    pub fn encode_with(&mut self, tail: &ReportTail, relay: &RelayPart) -> Vec<u8> {
        let mut bytes = self.encode(tail);
        bytes.extend(postcard::to_allocvec(relay).expect("encoding plain fields"));
        bytes
    }

    /// Encodes the message with all that may follow it as one datagram. Gateways of the previous
    /// build ignore `usage`.
    pub fn encode_report(
        &mut self,
        tail: &ReportTail,
        relay: &RelayPart,
        tunnel: &TunnelOffer,
        usage: &UsagePart,
    ) -> Vec<u8> {
        let mut bytes = self.encode_with(tail, relay);
        bytes.extend(postcard::to_allocvec(tunnel).expect("encoding plain fields"));
        bytes.extend(postcard::to_allocvec(usage).expect("encoding plain fields"));
        bytes
    }

    /// Decodes a message and its tail, without what may follow.
    pub fn decode(bytes: &[u8], era: StoreEra) -> Result<(Self, ReportTail), postcard::Error> {
        Datagram::decode(bytes, era).map(|datagram| (datagram.message, datagram.tail))
    }

    /// Iterates over the stamps whose eras the tail contains.
    fn stamps(&mut self) -> impl Iterator<Item = &mut StoreStamp> {
        let (rows, outcomes) = match self {
            PeerMessage::Rows(table_rows) => (Some(&mut table_rows.rows), None),
            PeerMessage::Load(report) => (None, Some(&mut report.outcomes)),
            PeerMessage::Origins(_) => (None, None),
        };
        let of_rows = rows.into_iter().flatten().map(|row| &mut row.stamp);
        let of_outcomes =
            outcomes.into_iter().flatten().filter_map(|update| update.outcome.stamp());
        of_rows.chain(of_outcomes)
    }
}

impl Datagram {
    /// Decodes a datagram. The tail of a gateway of an older build is missing: it is taken to be in
    /// `era`.
    pub fn decode(bytes: &[u8], era: StoreEra) -> Result<Self, postcard::Error> {
        let (mut message, rest): (PeerMessage, _) = postcard::take_from_bytes(bytes)?;
        let (tail, rest): (ReportTail, _) = match rest {
            [] => (ReportTail { era, ..ReportTail::default() }, rest),
            rest => postcard::take_from_bytes(rest)?,
        };
        let (relay, rest) = take_part(rest)?;
        let (tunnel, rest) = take_part(rest)?;
        let (usage, _) = take_part(rest)?;
        let written = tail.written_eras.iter().copied().chain(std::iter::repeat(tail.era));
        for (stamp, written) in message.stamps().zip(written) {
            *stamp = StoreStamp::new(tail.era, stamp.version()).written_in(written);
        }
        Ok(Datagram { message, tail, relay, tunnel, usage })
    }
}

/// Decodes the next part of a datagram; `None` if its sender does not know such a part.
fn take_part<P: DeserializeOwned>(rest: &[u8]) -> Result<(Option<P>, &[u8]), postcard::Error> {
    if rest.is_empty() {
        return Ok((None, rest));
    }
    postcard::take_from_bytes(rest).map(|(part, rest)| (Some(part), rest))
}
