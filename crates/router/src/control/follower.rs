//! The follower: reads the control rows and the instance list from the
//! platform and publishes what changed.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::WireError;
use umberglade_wire::platform::ACTIVE_KEY;
use umberglade_wire::platform::ActivePreset;
use umberglade_wire::platform::CONTROL_TABLE;
use umberglade_wire::platform::DRAINS_KEY;
use umberglade_wire::platform::DrainBook;
use umberglade_wire::platform::InstanceList;
use umberglade_wire::platform::ORGANISATIONS_KEY;
use umberglade_wire::platform::OrganisationBook;
use umberglade_wire::platform::Row;

use super::ControlSnapshot;
use super::ControlState;
use super::ServerSlot;
use crate::events;
use crate::platform::PlatformClient;
use crate::platform::RowRead;
use crate::preset::Preset;

/// Keeps a [`ControlState`] in step with the platform.
#[derive(Debug, Clone)]
pub struct ControlFollower {
    pub platform: PlatformClient,
    pub state: Arc<ControlState>,
    /// Time between follow rounds.
    pub interval: Duration,
}

impl ControlFollower {
    /// Follows until the process ends, one round every `interval`.
    pub async fn run(self) {
        loop {
            self.follow_once().await;
            smol::Timer::after(self.interval).await;
        }
    }

    /// One round: reads each control row if it is newer, and the instance
    /// list; publishes the result. Returns true when every read answered.
    ///
    /// Guards against a revert: a control row is applied only when its
    /// version is above the one in force, so a late or replayed read of an
    /// older row (a slow replica, a paused daemon waking) never moves this
    /// daemon back.
    pub async fn follow_once(&self) -> bool {
        let mut next = (*self.state.current()).clone();
        let mut complete = true;
        complete &= self.follow_active(&mut next).await;
        complete &= self.follow_organisations(&mut next).await;
        complete &= self.follow_drains(&mut next).await;
        complete &= self.follow_instances(&mut next).await;
        if complete {
            next.last_sync = Some(Instant::now());
        }
        self.state.publish(next);
        complete
    }

    /// Reads `key` of the control table if above `known`. `Err(())` when
    /// the platform did not answer (logged), `Ok(None)` when unchanged.
    async fn read_newer(&self, key: &'static str, known: u64) -> Result<Option<Row>, ()> {
        match self.platform.get_newer(CONTROL_TABLE, key, known).await {
            Ok(RowRead::Changed(row)) => Ok(Some(row)),
            Ok(RowRead::Unchanged | RowRead::Absent) => Ok(None),
            Err(error) => {
                self.report_unreachable(key, &error);
                Err(())
            }
        }
    }

    fn report_unreachable(&self, what: &str, error: &WireError) {
        tracing::warn!(event = events::PLATFORM_UNREACHABLE, what, %error, "serving on what is in force");
    }

    async fn follow_active(&self, next: &mut ControlSnapshot) -> bool {
        let Ok(read) = self.read_newer(ACTIVE_KEY, next.fence).await else {
            return false;
        };
        let Some(row) = read else {
            return true;
        };
        if row.version <= next.fence {
            tracing::warn!(
                event = events::PRESET_STALE_IGNORED,
                version = row.version,
                fence = next.fence,
                "older preset row ignored"
            );
            return true;
        }
        match parse_active(&row) {
            Ok((active, preset)) => {
                tracing::info!(
                    event = events::PRESET_APPLIED,
                    preset = %active.preset,
                    fence = row.version,
                    activated_by = %active.activated_by,
                    "preset in force"
                );
                next.fence = row.version;
                next.fence_applied_at = Some(std::time::SystemTime::now());
                next.preset_name = active.preset;
                next.preset = Some(Arc::new(preset));
            }
            Err(message) => {
                tracing::error!(event = events::PRESET_REJECTED, version = row.version, %message, "preset row refused");
            }
        }
        true
    }

    async fn follow_organisations(&self, next: &mut ControlSnapshot) -> bool {
        let Ok(read) = self.read_newer(ORGANISATIONS_KEY, next.organisations_version).await else {
            return false;
        };
        let Some(row) = read else {
            return true;
        };
        let Ok(book) = serde_json::from_value::<OrganisationBook>(row.value) else {
            tracing::error!(
                event = events::PRESET_REJECTED,
                version = row.version,
                "organisations row refused"
            );
            return true;
        };
        let mut api_keys = HashMap::new();
        for (organisation, entry) in book.organisations {
            for key in entry.api_keys {
                api_keys.insert(key, organisation.clone());
            }
        }
        next.api_keys = api_keys;
        next.organisations_version = row.version;
        true
    }

    async fn follow_drains(&self, next: &mut ControlSnapshot) -> bool {
        let Ok(read) = self.read_newer(DRAINS_KEY, next.drains_version).await else {
            return false;
        };
        let Some(row) = read else {
            return true;
        };
        let Ok(book) = serde_json::from_value::<DrainBook>(row.value) else {
            tracing::error!(
                event = events::PRESET_REJECTED,
                version = row.version,
                "drains row refused"
            );
            return true;
        };
        let drained = book.servers.into_keys().collect();
        if drained != next.drained {
            tracing::info!(event = events::SERVERS_CHANGED, ?drained, "drains changed");
        }
        next.drained = drained;
        next.drains_version = row.version;
        true
    }

    async fn follow_instances(&self, next: &mut ControlSnapshot) -> bool {
        match self.platform.instances_newer(next.instances_generation).await {
            Ok(Some(list)) => {
                next.instances_generation = list.generation;
                next.servers = merge_servers(&next.servers, list);
                true
            }
            Ok(None) => true,
            Err(error) => {
                self.report_unreachable("instances", &error);
                false
            }
        }
    }
}

fn parse_active(row: &Row) -> Result<(ActivePreset, Preset), String> {
    let active: ActivePreset =
        serde_json::from_value(row.value.clone()).map_err(|error| error.to_string())?;
    let preset = Preset::from_json(&active.body).map_err(|error| error.to_string())?;
    Ok((active, preset))
}

/// The new server list, each known server keeping its in-flight count.
fn merge_servers(previous: &[Arc<ServerSlot>], list: InstanceList) -> Vec<Arc<ServerSlot>> {
    let known: HashMap<&str, &Arc<ServerSlot>> =
        previous.iter().map(|slot| (slot.entry.server.as_str(), slot)).collect();
    let mut changed = previous.len() != list.instances.len();
    let servers: Vec<Arc<ServerSlot>> = list
        .instances
        .into_iter()
        .map(|entry| match known.get(entry.server.as_str()) {
            Some(slot) if slot.entry == entry => Arc::clone(slot),
            Some(slot) => {
                changed = true;
                Arc::new(ServerSlot::carried(entry, slot))
            }
            None => {
                changed = true;
                Arc::new(ServerSlot::new(entry))
            }
        })
        .collect();
    if changed {
        let summary: Vec<String> = servers
            .iter()
            .map(|slot| format!("{}={}", slot.entry.server, slot.entry.state))
            .collect();
        tracing::info!(event = events::SERVERS_CHANGED, servers = ?summary, "instance list changed");
    }
    servers
}
