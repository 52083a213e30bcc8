//! Takes in the operator's configuration.

use std::marker::PhantomData;
use std::sync::Arc;

use event_listener::EventListener;

use super::TableSink;
use super::raw_digest;
use super::unreadable_row::log_unreadable;
use crate::belief::ContentDigest;
use crate::belief::InForceChange;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::RowValue;
use crate::model::StoreRow;
use crate::model::StoreTable;
use crate::model::StoreVersion;
use crate::state::GatewayState;

/// Puts each newer configuration in force.
#[derive(Debug)]
pub struct ConfigSink<C> {
    state: Arc<GatewayState>,
    codec: PhantomData<C>,
}

impl<C: PlatformCodec> ConfigSink<C> {
    /// A sink for `state`.
    pub fn new(state: Arc<GatewayState>) -> Self {
        ConfigSink { state, codec: PhantomData }
    }

    fn take(&self, row: StoreRow) {
        let value = match &row.value {
            RowValue::Held(value) => value,
            RowValue::Removed => return,
            RowValue::Unreadable(problem) => {
                log_unreadable(StoreTable::Configuration, &row, problem);
                return;
            }
        };
        match C::route_table(&row.key, value) {
            Ok(Some(table)) => self.offer(row.version, table),
            Ok(None) => {}
            Err(error) => tracing::error!(
                event = events::CONFIG_IGNORED,
                row_version = row.version,
                %error,
                "configuration not understood; the one in force stays"
            ),
        }
    }

    fn offer(&self, row_version: StoreVersion, table: crate::model::RouteTable) {
        let version = table.version;
        let routes = table.len();
        match self.state.with_in_force(|in_force| in_force.offer(row_version, table)) {
            InForceChange::Applied { before } => {
                self.state.room.notify(usize::MAX);
                metrics::gauge!("umberglade_config_version").set(version as f64);
                tracing::info!(
                    event = events::CONFIG_APPLIED,
                    version,
                    row_version,
                    before = before.unwrap_or(0),
                    routes,
                    "configuration in force"
                );
            }
            InForceChange::Old { current } => tracing::debug!(
                event = events::CONFIG_IGNORED,
                version,
                row_version,
                current,
                "older configuration ignored"
            ),
        }
    }
}

impl<C: PlatformCodec> TableSink for ConfigSink<C> {
    fn listed(&mut self, rows: Vec<StoreRow>, _version: StoreVersion) {
        self.changed(rows);
    }

    fn changed(&mut self, rows: Vec<StoreRow>) {
        for row in rows {
            self.take(row);
        }
    }

    fn digest(&self, row: &StoreRow) -> Option<ContentDigest> {
        raw_digest(row)
    }

    fn due(&self) -> Option<EventListener> {
        Some(self.state.config_due.listen())
    }
}
