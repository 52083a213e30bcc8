//! Applies the operator's configuration from the store.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Instant;

use event_listener::EventListener;

use super::TableSink;
use super::TransferableRow;
use super::base64_length;
use super::raw_digest::version_digest;
use super::unreadable_row::log_unreadable;
use crate::cluster::RowDigest;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;
use crate::state::GatewayState;

/// Puts each newer configuration in force. Rows that can't be decoded are logged and ignored.
#[derive(Debug)]
pub struct ConfigSink<C> {
    state: Arc<GatewayState>,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> ConfigSink<C> {
    /// Creates a sink that updates `state`.
    pub fn new(state: Arc<GatewayState>) -> Self {
        ConfigSink { state, codec: PhantomData }
    }

    fn apply_row(&self, row: StoreRow) {
        let value = match &row.value {
            RowValue::Held(value) => value,
            RowValue::Removed => return,
            RowValue::Unreadable(problem) => {
                log_unreadable(StoreTable::Configuration, &row, problem);
                return;
            }
        };
        let (row_version, row_bytes) = (row.version, value.len());
        let held_version = self.state.config().map_or(0, |config| config.id.row_version);
        if row_version <= held_version {
            tracing::info!(
                event = events::CONFIG_IGNORED,
                row_version,
                held_row_version = held_version,
                "configuration ignored: its row is not newer than the one in force"
            );
            return;
        }
        match C::route_table(&row.key, value) {
            Ok(Some(table)) => {
                drop(row);
                self.state.apply_store_config(row_version, row_bytes, table);
            }
            Ok(None) => {}
            Err(error) => tracing::error!(
                event = events::CONFIG_IGNORED,
                row_version,
                %error,
                "cannot decode the configuration; keeping the one in force"
            ),
        }
    }
}

impl<C: PlatformCodec> TableSink for ConfigSink<C> {
    fn apply_listing(&mut self, rows: Vec<StoreRow>, _version: StoreVersion) {
        self.apply_changes(rows);
    }

    fn apply_changes(&mut self, rows: Vec<StoreRow>) {
        for row in rows {
            self.apply_row(row);
        }
    }

    /// Digests the version: peers that were sent the configuration by others know it, too. Other
    /// rows of the table do not matter here.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest> {
        let is_held = row.key == C::CONFIGURATION_KEY && row.value != RowValue::Removed;
        is_held.then(|| version_digest(row.version))
    }

    fn transferable_row(&self) -> Option<TransferableRow> {
        let config = self.state.config()?;
        let (version, bytes) = (config.id.row_version, base64_length(config.row_bytes));
        Some(TransferableRow { key: C::CONFIGURATION_KEY.to_owned(), version, bytes })
    }

    /// The operator's configuration does not expire.
    fn has_expiring_rows(&self) -> bool {
        false
    }

    fn record_read(&mut self) {
        self.state.record_config_fresh(Instant::now());
    }

    fn read_trigger(&self) -> Option<EventListener> {
        Some(self.state.config_read_requested.listen())
    }
}
