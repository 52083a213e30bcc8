//! Takes in the servers' registrations.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Instant;

use super::TableSink;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::ServerEntry;
use crate::model::StoreRow;
use crate::model::StoreVersion;
use crate::state::GatewayState;

/// Keeps the fleet up to date.
#[derive(Debug)]
pub struct ServerSink<C> {
    state: Arc<GatewayState>,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> ServerSink<C> {
    /// A sink for `state`.
    pub fn new(state: Arc<GatewayState>) -> Self {
        ServerSink { state, codec: PhantomData }
    }

    fn decode(row: &StoreRow) -> Option<ServerEntry> {
        let value = row.value.as_ref()?;
        match C::server_entry(&row.key, value) {
            Ok(entry) => Some(entry),
            Err(error) => {
                tracing::warn!(
                    event = events::SERVER_IGNORED,
                    server = %row.key,
                    version = row.version,
                    %error,
                    "registration not understood"
                );
                None
            }
        }
    }
}

impl<C: PlatformCodec> TableSink for ServerSink<C> {
    fn listed(&mut self, rows: Vec<StoreRow>, version: StoreVersion) {
        let entries =
            rows.iter().filter_map(|row| Some((Self::decode(row)?, row.version))).collect();
        let changes = self.state.fleet().replace(entries, version, Instant::now());
        self.state.log_changes(&changes, version);
    }

    fn changed(&mut self, rows: Vec<StoreRow>) {
        for row in rows {
            let now = Instant::now();
            let change = match Self::decode(&row) {
                Some(entry) => self.state.fleet().upsert(entry, row.version),
                None if row.value.is_none() => {
                    self.state.fleet().remove(&row.key, row.version, now)
                }
                None => None,
            };
            self.state.log_changes(change.as_slice(), row.version);
        }
    }

    fn regained(&mut self) {
        self.state.fleet().store_regained(Instant::now());
        // Guards against a change made in the outage that the configuration's
        // long wait, on a connection from before, would not show.
        self.state.config_due.notify(usize::MAX);
    }

    fn read(&mut self) {
        self.state.fleet().store_read(Instant::now());
    }
}
