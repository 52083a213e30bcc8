//! Applies the store's table of gateways.

use std::net::SocketAddr;
use std::sync::Arc;

use event_listener::EventListener;
use serde::Deserialize;
use serde::Serialize;

use super::TableSink;
use super::raw_digest;
use super::unreadable_row::log_unreadable;
use crate::cluster::RowDigest;
use crate::model::DomainKey;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::peers::MemberRecord;
use crate::peers::PeerRegistry;
use crate::state::GatewayState;

/// A gateway's row: the address at which it receives reports from its peers. Encoded with
/// `postcard`, as the reports between gateways are. Its failure domain follows, which gateways of
/// the previous build ignore and do not write.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberRow {
    pub address: SocketAddr,
}

impl MemberRow {
    /// Encodes the row of a gateway in `domain`.
    pub fn encode(&self, domain: &DomainKey) -> Vec<u8> {
        let mut bytes = postcard::to_allocvec(self).expect("encoding an address");
        bytes.extend(postcard::to_allocvec(domain).expect("encoding a name"));
        bytes
    }

    /// Decodes the row of the gateway named `name`.
    pub fn decode(name: &str, bytes: &[u8]) -> Result<MemberRecord, postcard::Error> {
        let (MemberRow { address }, rest) = postcard::take_from_bytes(bytes)?;
        let domain = postcard::from_bytes(rest).ok();
        Ok(MemberRecord { name: name.to_owned(), address, domain })
    }
}

/// Keeps the registry of peers up to date.
#[derive(Debug)]
pub struct MemberSink {
    state: Arc<GatewayState>,
    registry: Arc<PeerRegistry>,
}

impl MemberSink {
    /// Creates a sink for `state` and the registry that holds the destinations of its reports.
    pub fn new(state: Arc<GatewayState>, registry: Arc<PeerRegistry>) -> Self {
        MemberSink { state, registry }
    }

    fn apply_row(&self, row: &StoreRow) {
        match &row.value {
            RowValue::Removed => self.registry.remove(&row.key),
            RowValue::Unreadable(problem) => self.remove_unreadable(row, problem),
            RowValue::Held(value) => match MemberRow::decode(&row.key, value) {
                Ok(member) => {
                    self.registry.insert(&row.key, member.address);
                    self.registry.merge(vec![member]);
                }
                Err(error) => self.remove_unreadable(row, &error.to_string()),
            },
        }
    }

    /// Logs a row that can't be decoded and removes its gateway: the row names no address for
    /// reports.
    fn remove_unreadable(&self, row: &StoreRow, problem: &str) {
        log_unreadable(StoreTable::Members, row, problem);
        self.registry.remove(&row.key);
    }
}

impl TableSink for MemberSink {
    fn apply_listing(&mut self, rows: Vec<StoreRow>, _version: StoreStamp) {
        self.registry.clear();
        self.apply_changes(rows);
    }

    fn apply_changes(&mut self, rows: Vec<StoreRow>) {
        for row in &rows {
            self.apply_row(row);
        }
        self.state.set_members(self.registry.len());
    }

    fn digest(&self, row: &StoreRow) -> Option<RowDigest> {
        raw_digest(row)
    }

    /// The table is read again once this gateway's own row is written.
    fn read_trigger(&self) -> Option<EventListener> {
        Some(self.state.registered.listen())
    }
}
