//! What this process gives out of each organisation's quota.

use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use crate::cluster::ChargeUpdate;
use crate::cluster::OrganisationDigest;
use crate::cluster::QuotaPool;
use crate::cluster::QuotaView;
use crate::cluster::organisation_digest;
use crate::events;
use crate::model::ConfigVersion;
use crate::model::Organisation;
use crate::model::OrganisationRegistry;

/// Organisations with metrics of their own; the others share one label.
const MAX_LABELS: usize = 32;
/// The label of the others.
const OTHER: &str = "other";

/// The quotas, with log lines and metrics of what is decided.
#[derive(Debug)]
pub struct Quotas {
    pool: Mutex<QuotaPool>,
    /// Labels of metrics, by organisation.
    labels: Mutex<FxHashMap<OrganisationDigest, String>>,
}

impl Quotas {
    /// Those of a process that has begun at `begun`.
    pub fn new(begun: Instant) -> Self {
        Quotas { pool: Mutex::new(QuotaPool::new(begun)), labels: Mutex::default() }
    }

    /// A configuration with `organisations` is in force.
    pub fn set_limits(
        &self,
        organisations: &OrganisationRegistry,
        version: ConfigVersion,
        view: &QuotaView,
    ) {
        let changed = self.pool().set_limits(organisations, view, Instant::now());
        let mut labels = self.labels.lock().expect("labels lock");
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
                "quota in force"
            );
        }
    }

    /// Charges `cost` units to `organisation` for `request_id`, or says after how
    /// long it may come back.
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
        let Err(after) = charged else {
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
            part = view.part(),
            gateways_heard = view.heard,
            gateways = view.members,
            unheard_ms = view.unheard_for.as_millis() as u64,
            retry_after_ms = after.as_millis() as u64,
            "quota spent"
        );
        Err(after)
    }

    /// Gives back what was charged for a request that has not run.
    pub fn give_back(&self, organisation: OrganisationDigest, cost: u64) {
        self.pool().give_back(organisation, cost, Instant::now());
    }

    /// Takes in what another gateway, which has run for `age`, has charged.
    pub fn hear(
        &self,
        peer: u64,
        incarnation: u64,
        age: Duration,
        charges: &[(OrganisationDigest, ChargeUpdate)],
        view: &QuotaView,
    ) {
        self.pool().hear(peer, incarnation, age, charges, view, Instant::now());
    }

    /// What a report tells the other gateways.
    pub fn news(&self, tells_all: bool) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        self.pool().news(tells_all)
    }

    /// What a report tells gateways that are told rarely.
    pub fn recent_news(&self) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        self.pool().recent_news()
    }

    /// Drops what is past, and shows in metrics what is used.
    pub fn tick(&self, view: &QuotaView) {
        self.pool().tick(view, Instant::now());
        let labels = self.labels.lock().expect("labels lock").clone();
        for (digest, label) in labels {
            if let Some((limit, left)) = self.pool().left(digest, view) {
                let used = 1.0 - left / view.allowance(&limit);
                metrics::gauge!("umberglade_quota_used_share", "organisation" => label).set(used);
            }
        }
    }

    fn label(&self, organisation: OrganisationDigest) -> String {
        let labels = self.labels.lock().expect("labels lock");
        labels.get(&organisation).cloned().unwrap_or_else(|| OTHER.to_owned())
    }

    fn pool(&self) -> MutexGuard<'_, QuotaPool> {
        self.pool.lock().expect("quota lock")
    }
}
