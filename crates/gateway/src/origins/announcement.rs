//! Announces the versions of a service in the store: the first one, and others before streams begin at
//! them.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use super::journal_row::AnnouncementRow;
use super::journal_row::announcement_key;
use super::journal_row::encode;
use super::software_rows::LoadedRows;
use super::software_rows::load_rows;
use crate::codec::PlatformCodec;
use crate::events;
use crate::model::ServiceName;
use crate::model::SoftwareDigest;
use crate::model::StoreStamp;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::StoreClient;
use crate::store::StoreError;
use crate::timing::with_deadline;

/// Maximum number of versions in an announcement.
const MAX_ANNOUNCED: usize = 32;

/// Delay after a failed call of the store.
const RETRY_DELAY: Duration = Duration::from_millis(300);
/// Interval at which announcements that name versions of long ago are looked for.
const SHORTENING_INTERVAL: Duration = Duration::from_secs(10);

/// Time over which the gateways of a site spread their first announcements, by their number: one of
/// them is enough, and a site of a thousand starts at once.
const SPREAD_PER_GATEWAY: Duration = Duration::from_millis(10);

/// Announces versions until the process stops.
pub async fn run_announcements<C: PlatformCodec>(state: Arc<GatewayState>) {
    loop {
        let due = state.origins.announcement_due.listen();
        if !announce_versions::<C>(&state).await {
            smol::Timer::after(RETRY_DELAY).await;
        } else if with_deadline(Instant::now() + SHORTENING_INTERVAL, due).await.is_none() {
            shorten_announcements::<C>(&state).await;
        }
    }
}

/// Announces the versions of all services of which some are not announced. Returns false if one
/// could not be.
async fn announce_versions<C: PlatformCodec>(state: &GatewayState) -> bool {
    let due = state.fleet().due_announcements();
    if due.is_empty() {
        return true;
    }
    if due.iter().all(|service| state.fleet().sole_version(service).is_some()) {
        let spread = SPREAD_PER_GATEWAY * state.members() as u32;
        smol::Timer::after(spread.mul_f64(fastrand::f64())).await;
    }
    let Some(loaded) = load_rows::<C>(state).await else { return false };
    let mut is_complete = true;
    // Some are announced by other gateways, as the rows have shown.
    let due = state.fleet().due_announcements();
    for service in due {
        let result = announce::<C>(state, &loaded, &service).await;
        is_complete &= matches!(result, Ok(true));
    }
    is_complete
}

/// Applies the announcements in `loaded`.
pub(super) fn apply_announcements(state: &GatewayState, loaded: &LoadedRows) {
    let mut fleet = state.fleet();
    for service in fleet.version_services() {
        if let Some(announcement) = loaded.announcements.get(&announcement_key(&service)) {
            fleet.set_announced_versions(&service, &announcement.row.versions);
        }
    }
}

/// Writes the announcement of `service` unless another gateway has changed it since `loaded`.
async fn announce<C: PlatformCodec>(
    state: &GatewayState,
    loaded: &LoadedRows,
    service: &ServiceName,
) -> Result<bool, StoreError> {
    let key = announcement_key(service);
    let before = loaded.announcements.get(&key);
    let versions = announced_versions(state, service, before.map(|one| &one.row));
    let stamp = before.map_or(StoreStamp::NONE, |one| one.stamp);
    let row = encode(&AnnouncementRow { versions: versions.clone() });
    let mut client = StoreClient::<C>::new(state);
    let written = client.claim(StoreTable::Software, &key, &row, stamp).await;
    let is_written = matches!(written, Ok(Some(_)));
    if is_written {
        state.fleet().set_announced_versions(service, &versions);
        // Streams that began before have no origin in the store yet.
        state.origins.write_all();
        state.capacity_changed.notify(usize::MAX);
    }
    log_announcement(service, versions.len(), &written);
    written.map(|_| is_written)
}

/// Returns the versions to announce: the recent ones, and those that other gateways announced.
fn announced_versions(
    state: &GatewayState,
    service: &ServiceName,
    before: Option<&AnnouncementRow>,
) -> Vec<SoftwareDigest> {
    let fleet = state.fleet();
    let recent = fleet.service_versions(service).map(|versions| versions.recent());
    let mut versions: Vec<SoftwareDigest> = recent.unwrap_or_default().to_vec();
    let others = before.map(|row| row.versions.as_slice()).unwrap_or_default();
    let others: Vec<_> = others.iter().filter(|one| !versions.contains(one)).copied().collect();
    versions.extend(others);
    versions.truncate(MAX_ANNOUNCED);
    versions
}

/// Announces just the one version of services that have had it alone for long. One gateway does this.
async fn shorten_announcements<C: PlatformCodec>(state: &GatewayState) {
    let now = Instant::now();
    let is_first = state.fleet().peers.rank(state.digest, now).peers_before == 0;
    let ended = state.fleet().ended_announcements(now);
    if !is_first || ended.is_empty() {
        return;
    }
    let Some(loaded) = load_rows::<C>(state).await else { return };
    let mut client = StoreClient::<C>::for_background(state);
    for service in ended {
        let key = announcement_key(&service);
        let Some(announcement) = loaded.announcements.get(&key) else { continue };
        let Some(sole) = state.fleet().sole_version(&service) else { continue };
        let row = encode(&AnnouncementRow { versions: vec![sole] });
        let written = client.claim(StoreTable::Software, &key, &row, announcement.stamp).await;
        if matches!(written, Ok(Some(_))) {
            state.fleet().set_announced_versions(&service, &[sole]);
        }
        log_announcement(&service, 1, &written);
    }
}

fn log_announcement<T>(
    service: &ServiceName,
    versions: usize,
    written: &Result<Option<T>, StoreError>,
) {
    let outcome = match written {
        Ok(Some(_)) => "done".to_owned(),
        Ok(None) => "another gateway was first".to_owned(),
        Err(error) => error.to_string(),
    };
    tracing::info!(
        event = events::VERSIONS_ANNOUNCED,
        %service,
        versions,
        outcome,
        "announcement of a service's software versions"
    );
}
