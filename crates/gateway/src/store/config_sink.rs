//! Applies the operator's configuration from the store.

use std::marker::PhantomData;
use std::sync::Arc;
use std::time::Instant;

use event_listener::EventListener;

use super::TableSink;
use super::TransferableRow;
use super::raw_digest::stamp_digest;
use super::row_size::base64_length;
use super::unreadable_row::log_unreadable;
use crate::cluster::RowDigest;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreStamp;
use crate::model::StoreTable;
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
        let (stamp, row_bytes) = (row.stamp, value.len());
        let held = self.state.config().map(|config| config.id.stamp);
        let is_known = |held: StoreStamp| stamp <= held && stamp.seen_era() == held.seen_era();
        if held.is_some_and(is_known) {
            return;
        }
        match C::route_table(&row.key, value) {
            Ok(Some(table)) => {
                drop(row);
                self.state.apply_store_config(stamp, row_bytes, table);
            }
            Ok(None) => {}
            Err(error) => tracing::error!(
                event = events::CONFIG_IGNORED,
                row_version = stamp.version(),
                %error,
                "cannot decode the configuration; keeping the one in force"
            ),
        }
    }
}

impl<C: PlatformCodec> TableSink for ConfigSink<C> {
    fn apply_listing(&mut self, rows: Vec<StoreRow>, _version: StoreStamp) {
        self.apply_changes(rows);
    }

    fn apply_changes(&mut self, rows: Vec<StoreRow>) {
        for row in rows {
            self.apply_row(row);
        }
    }

    /// Digests the stamp: peers that were sent the configuration by others know it, too. Other
    /// rows of the table do not matter here.
    fn digest(&self, row: &StoreRow) -> Option<RowDigest> {
        let is_held = row.key == C::CONFIGURATION_KEY && row.value != RowValue::Removed;
        is_held.then(|| stamp_digest(row.stamp))
    }

    fn transferable_row(&self) -> Option<TransferableRow> {
        let config = self.state.config()?;
        let (stamp, bytes) = (config.id.stamp, base64_length(config.row_bytes));
        Some(TransferableRow { key: C::CONFIGURATION_KEY.to_owned(), stamp, bytes })
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
