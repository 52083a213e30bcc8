//! Charges requests to the quotas of organisations.

use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use crate::cluster::ChargeUpdate;
use crate::cluster::OrganisationDigest;
use crate::cluster::ProcessId;
use crate::cluster::QuotaPool;
use crate::cluster::QuotaSnapshot;
use crate::cluster::QuotaView;
use crate::cluster::organisation_digest;
use crate::events;
use crate::model::ConfigVersion;
use crate::model::Organisation;
use crate::model::OrganisationRegistry;
use crate::state_lock::StateLock;

/// Maximum number of organisations with their own metrics label; the others share one label.
const MAX_LABELS: usize = 32;
/// The metrics label that the other organisations share.
const OTHER_LABEL: &str = "other";

/// The quotas, with log lines and metrics of the decisions.
#[derive(Debug)]
pub struct Quotas {
    pool: StateLock<QuotaPool>,
    /// Metrics labels by organisation.
    labels: StateLock<FxHashMap<OrganisationDigest, String>>,
}

impl Quotas {
    /// Creates the quotas of a process that started at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        Quotas { pool: StateLock::new(QuotaPool::new(started_at)), labels: StateLock::default() }
    }

    /// Applies the limits of configuration `version` with `organisations`.
    pub fn set_limits(
        &self,
        organisations: &OrganisationRegistry,
        version: ConfigVersion,
        view: &QuotaView,
    ) {
        let changed = self.pool().set_limits(organisations, view, Instant::now());
        let mut labels = self.labels.lock();
        for organisation in organisations.iter() {
            if labels.len() >= MAX_LABELS {
                break;
            }
            let digest = organisation_digest(&organisation.name);
            labels.entry(digest).or_insert_with(|| organisation.name.to_string());
        }
        drop(labels);
        for organisation in changed {
            let left = self.pool().left(organisation_digest(&organisation), view);
            let Some((limit, left)) = left else { continue };
            let (rate, burst) = (limit.rate, limit.burst);
            tracing::info!(
                event = events::QUOTA_CHANGED,
                organisation,
                version,
                rate,
                burst,
                left,
                "quota changed"
            );
        }
    }

    /// Charges `cost` units to `organisation` for `request_id`, or returns the time after
    /// which the caller may retry.
    pub fn charge(
        &self,
        organisation: &Organisation,
        cost: u64,
        request_id: &str,
        view: &QuotaView,
    ) -> Result<(), Duration> {
        let digest = organisation_digest(&organisation.name);
        let mut pool = self.pool();
        let charged = pool.charge(digest, cost, view, fastrand::f64(), Instant::now());
        let left = pool.left(digest, view).map_or(0.0, |(_, left)| left);
        drop(pool);
        let label = self.label(digest);
        let Err(retry_after) = charged else {
            metrics::counter!("umberglade_quota_units_total", "organisation" => label)
                .increment(cost);
            return Ok(());
        };
        metrics::counter!("umberglade_quota_refusals_total", "organisation" => label).increment(1);
        tracing::info!(
            event = events::QUOTA_EXHAUSTED,
            request_id,
            organisation = %organisation.name,
            cost,
            left,
            part = view.fraction(),
            gateways_heard = view.live_peers,
            gateways = view.gateways,
            known_age_ms = view.known_age.as_millis() as u64,
            unheard_ms = view.since_last_report.as_millis() as u64,
            retry_after_ms = retry_after.as_millis() as u64,
            "request rejected by quota"
        );
        Err(retry_after)
    }

    /// Refunds the charge of a request that has not run.
    pub fn refund(&self, organisation: OrganisationDigest, cost: u64) {
        self.pool().refund(organisation, cost, Instant::now());
    }

    /// Returns what this process, `local`, knows.
    pub fn snapshot(&self, local: ProcessId, view: &QuotaView) -> QuotaSnapshot {
        self.pool().snapshot(local, view, Instant::now())
    }

    /// Takes over what a peer knows. `local` is this process.
    pub fn take_over(&self, snapshot: &QuotaSnapshot, local: ProcessId, view: &QuotaView) {
        self.pool().take_over(snapshot, local, view, Instant::now());
    }

    /// Returns true if this process knows what all gateways have charged in the last window.
    pub fn knows_window(&self, view: &QuotaView) -> bool {
        self.pool().knows_window(view, Instant::now())
    }

    /// Applies the charges that `process`, which has run for `age`, reports.
    pub fn apply_peer_charges(
        &self,
        process: ProcessId,
        age: Duration,
        charges: &[(OrganisationDigest, ChargeUpdate)],
        view: &QuotaView,
    ) {
        self.pool().apply_peer_charges(process, age, charges, view, Instant::now());
    }

    /// Returns the moment up to which what peers did is known, in the mean; `None` if that is not
    /// known of any.
    pub fn known_until(&self, now: Instant) -> Option<Instant> {
        self.pool().known_until(now)
    }

    /// Returns the charges that a report includes: those that have changed since the last report,
    /// or with `reports_all` all.
    pub fn updates(&self, reports_all: bool) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        self.pool().updates(reports_all)
    }

    /// Returns the charges for reports to peers that receive reports rarely.
    pub fn recent_updates(&self) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        self.pool().recent_updates()
    }

    /// Removes expired charges, and sets the gauges of the used fraction of each quota.
    pub fn tick(&self, view: &QuotaView) {
        self.pool().tick(view, Instant::now());
        let labels = self.labels.lock().clone();
        for (digest, label) in labels {
            if let Some((limit, left)) = self.pool().left(digest, view) {
                let used = 1.0 - left / view.window_limit(&limit);
                metrics::gauge!("umberglade_quota_used_share", "organisation" => label).set(used);
            }
        }
    }

    fn label(&self, organisation: OrganisationDigest) -> String {
        let labels = self.labels.lock();
        labels.get(&organisation).cloned().unwrap_or_else(|| OTHER_LABEL.to_owned())
    }

    fn pool(&self) -> MutexGuard<'_, QuotaPool> {
        self.pool.lock()
    }
}
