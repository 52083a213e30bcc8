//! What one gateway tells the others.

use serde::Deserialize;
use serde::Serialize;

use crate::cluster::BackoffUpdate;
use crate::cluster::ChargeUpdate;
use crate::cluster::EngineEstimates;
use crate::cluster::LimitUpdate;
use crate::cluster::LoadShare;
use crate::cluster::OrganisationDigest;
use crate::cluster::OutcomeUpdate;
use crate::cluster::PeerReach;
use crate::cluster::QueueUpdate;
use crate::cluster::RetryCount;
use crate::model::ConfigVersion;
use crate::model::ServerIncarnation;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::store::TableNotice;

/// A gateway's work at each server that has any of it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct LoadReport {
    pub peer: String,
    /// Drawn at each start of the process.
    pub incarnation: u64,
    /// Grows with each report of an incarnation.
    pub sequence: u64,
    /// Whom it was written for.
    pub reach: PeerReach,
    /// Servers by their digest.
    pub loads: Vec<(u64, LoadShare)>,
    /// Requests and repeats in the last window; services by their digest.
    pub retries: Vec<(u64, RetryCount)>,
    /// Servers this gateway passes over after failures of its own.
    pub aside: Vec<u64>,
    /// Requests waiting for engines' room; services by their digest.
    pub lines: Vec<(u64, QueueUpdate)>,
    /// Milliseconds for which this gateway has read the servers' table
    /// without an outage.
    pub store_calm_ms: u64,
    /// Engines that this gateway has told to change their stage.
    pub changing: Vec<u64>,
    /// What this gateway has learned of engines, by service; `None` in most
    /// reports, since it changes slowly.
    pub learned: Option<Vec<(u64, EngineEstimates)>>,
    /// The configuration in force here; 0 while none is known.
    pub config: ConfigVersion,
    /// Tables of the store that this gateway reads for all.
    pub tables: Vec<TableNotice>,
    /// Units charged to organisations' quotas since this incarnation began, by the
    /// digests of their names.
    pub charges: Vec<(OrganisationDigest, ChargeUpdate)>,
    /// Milliseconds for which this incarnation has run.
    pub age_ms: u64,
    /// What became of sends of contents under which servers may crash.
    pub outcomes: Vec<OutcomeUpdate>,
    /// Rate limits that servers state.
    pub limits: Vec<LimitUpdate>,
    /// Servers that have stated that they are leaving.
    pub departures: Vec<ServerIncarnation>,
    /// Backoffs that servers request from this gateway, and from gateways that have just
    /// started.
    pub backoffs: Vec<BackoffUpdate>,
}

/// Rows of one table that one gateway has read and that say something new.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableRows {
    pub table: StoreTable,
    pub rows: Vec<StoreRow>,
}

/// What a datagram between gateways holds.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub enum PeerMessage {
    Load(Box<LoadReport>),
    Rows(TableRows),
}
