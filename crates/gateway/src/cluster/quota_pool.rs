//! Quotas of organisations over all gateways: sliding windows whose charges are replicated.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;
use serde::Deserialize;
use serde::Serialize;

use super::charge_update::ChargeUpdate;
use super::quota_account::QuotaAccount;
use super::quota_account::QuotaSlot;
use super::quota_view::QuotaView;
use super::report_ages::ReportAges;
use super::usage_ledger::ProcessId;
use super::usage_ledger::UsageLedger;
use super::usage_ledger::UsageRecord;
use crate::model::OrganisationRegistry;
use crate::model::QuotaLimit;

/// Digest of an organisation's name. Quotas are per name, whatever keys the organisation has.
pub type OrganisationDigest = u32;
/// A peer counts as started before this gateway when it has run for this much longer.
const PRIOR_START_MARGIN: Duration = Duration::from_millis(500);
/// After a longer time without reports of a peer, what it charged meanwhile may have left the
/// window.
const LATE_REPORT_AGE: Duration = Duration::from_secs(3);

/// Returns the digest of an organisation's name, as used in reports.
pub fn organisation_digest(name: &str) -> OrganisationDigest {
    umberglade_wire::digest(name.as_bytes()) as OrganisationDigest
}

/// What one gateway knows of the use of all quotas within their window.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuotaSnapshot {
    /// Milliseconds for which the gateway has known what all charge.
    pub known_ms: u64,
    /// What each process has charged.
    pub processes: Vec<UsageRecord<OrganisationDigest, ChargeUpdate>>,
    /// What all have charged, by organisation.
    pub windows: Vec<(OrganisationDigest, Vec<QuotaSlot>)>,
}

/// The quotas of all organisations.
///
/// Each gateway charges the requests that it grants to its own copy of a window that covers all
/// gateways, reports its totals to its peers and adds what they charged. No gateway owns a quota.
/// When callers request more than is left before reports include it, each gateway grants only the
/// fraction of the requests that what is left suffices for. Until a gateway receives reports again,
/// it grants no more than its share of the demand; one that receives reports of few peers grants no
/// more than its fraction of the quota.
#[derive(Debug)]
pub struct QuotaPool {
    started_at: Instant,
    /// Since when this process knows what all gateways have charged.
    known_since: Instant,
    accounts: FxHashMap<OrganisationDigest, QuotaAccount>,
    processes: UsageLedger<OrganisationDigest, ChargeUpdate>,
    report_ages: ReportAges,
}

impl QuotaPool {
    /// Creates the pool of a gateway that started at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        QuotaPool {
            started_at,
            known_since: started_at,
            accounts: FxHashMap::default(),
            processes: UsageLedger::default(),
            report_ages: ReportAges::default(),
        }
    }

    /// Applies the limits of a configuration with `organisations`. Returns the names of those whose
    /// limit has changed.
    pub fn set_limits(
        &mut self,
        organisations: &OrganisationRegistry,
        view: &QuotaView,
        now: Instant,
    ) -> Vec<String> {
        let mut changed = Vec::new();
        let mut known = std::mem::take(&mut self.accounts);
        for organisation in organisations.iter() {
            let Some(limit) = organisation.quota else { continue };
            let digest = organisation_digest(&organisation.name);
            let account = match known.remove(&digest) {
                Some(mut account) => {
                    if account.set_limit(limit) {
                        changed.push(organisation.name.to_string());
                    }
                    account
                }
                None => {
                    changed.push(organisation.name.to_string());
                    QuotaAccount::new(limit, view, now)
                }
            };
            self.accounts.insert(digest, account);
        }
        changed
    }

    /// Charges `cost` units, or returns after how long the caller may retry. `draw` is a random
    /// number from 0 to 1.
    pub fn charge(
        &mut self,
        organisation: OrganisationDigest,
        cost: u64,
        view: &QuotaView,
        draw: f64,
        now: Instant,
    ) -> Result<(), Duration> {
        match self.accounts.get_mut(&organisation) {
            Some(account) => account.charge(cost as f64, view, draw, now),
            None => Ok(()),
        }
    }

    /// Refunds `cost` units that were charged for a request that has not run.
    pub fn refund(&mut self, organisation: OrganisationDigest, cost: u64, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.refund(cost as f64, now);
        }
    }

    /// Applies what `process`, which has run for `age`, reports to have charged, which may be none.
    pub fn apply_peer_charges(
        &mut self,
        process: ProcessId,
        age: Duration,
        charges: &[(OrganisationDigest, ChargeUpdate)],
        view: &QuotaView,
        now: Instant,
    ) {
        self.report_ages.record(process, age, now);
        let started_before =
            age > now.saturating_duration_since(self.started_at) + PRIOR_START_MARGIN;
        let is_prior = started_before && !self.knows_window(view, now);
        let reported_at = self.processes.reported_at(process).unwrap_or(now);
        let is_late = now.saturating_duration_since(reported_at) > LATE_REPORT_AGE;
        for (organisation, update) in charges {
            let previous = self.processes.record(process, *organisation, *update, now);
            let Some(account) = self.accounts.get_mut(organisation) else { continue };
            match previous {
                Some(previous) => {
                    let asked = update.asked.saturating_sub(previous.asked);
                    account.apply_demand(asked as f64, view, now);
                    let units = (update.total - previous.total) as f64;
                    if is_late {
                        account.apply_late_charge(units, view, now);
                    } else {
                        account.apply_charge(units, now);
                    }
                }
                None if is_prior => account.apply_prior_charge(update.recent as f64, now),
                None => {
                    account.apply_demand(update.asked as f64, view, now);
                    account.apply_charge(update.recent as f64, now);
                }
            }
        }
    }

    /// Returns the charges of this gateway that a report includes: those that have changed since
    /// the last report, or with `reports_all` all.
    pub fn updates(&mut self, reports_all: bool) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        let accounts = self.accounts.iter_mut();
        let updates = accounts
            .filter_map(|(digest, account)| Some((*digest, account.take_update(reports_all)?)));
        updates.collect()
    }

    /// Returns what this gateway charged within the window, for remote peers, which receive reports
    /// at longer intervals.
    pub fn recent_updates(&self) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        let accounts = self
            .accounts
            .iter()
            .map(|(organisation, account)| (*organisation, account.charge_update()));
        accounts.filter(|(_, update)| update.recent > 0).collect()
    }

    /// Returns true if this process knows what all gateways have charged in the last window.
    pub fn knows_window(&self, view: &QuotaView, now: Instant) -> bool {
        now.saturating_duration_since(self.known_since) >= view.window
    }

    /// Returns what this process, `local`, knows.
    pub fn snapshot(&self, local: ProcessId, view: &QuotaView, now: Instant) -> QuotaSnapshot {
        let own = self.accounts.iter().map(|(digest, account)| (*digest, account.charge_update()));
        let own = UsageRecord { process: local, age_ms: 0, used: own.collect() };
        let mut processes = self.processes.records(view.window, now);
        processes.push(own);
        let windows = self.accounts.iter().map(|(digest, account)| (*digest, account.window(now)));
        QuotaSnapshot {
            known_ms: now.saturating_duration_since(self.known_since).as_millis() as u64,
            processes,
            windows: windows.collect(),
        }
    }

    /// Takes over what a peer knows, if that is all that was charged in the last window. `local` is
    /// this process.
    ///
    /// Prevents what ended processes charged from being granted again by their successors, which
    /// else take the window to be evenly used: what was charged at once does not expire evenly.
    pub fn take_over(
        &mut self,
        snapshot: &QuotaSnapshot,
        local: ProcessId,
        view: &QuotaView,
        now: Instant,
    ) {
        let known_for = Duration::from_millis(snapshot.known_ms);
        if known_for < view.window {
            return;
        }
        let mut missing = self.missing_units(snapshot, local, view, now);
        for record in snapshot.processes.iter().filter(|record| record.process != local) {
            self.record_newer(record, now);
        }
        let windows: FxHashMap<OrganisationDigest, &Vec<QuotaSlot>> =
            snapshot.windows.iter().map(|(digest, window)| (*digest, window)).collect();
        for (digest, account) in &mut self.accounts {
            let window = windows.get(digest).map_or(&[][..], |window| window);
            account.take_over(window, missing.remove(digest).unwrap_or(0.0), now);
        }
        self.known_since = self.known_since.min(now.checked_sub(known_for).unwrap_or(now));
    }

    /// Returns the units that this process knows and `snapshot` does not contain: its own, and what
    /// other processes have told it later, or not told the peer.
    fn missing_units(
        &self,
        snapshot: &QuotaSnapshot,
        local: ProcessId,
        view: &QuotaView,
        now: Instant,
    ) -> FxHashMap<OrganisationDigest, f64> {
        let told: FxHashMap<ProcessId, &UsageRecord<_, _>> =
            snapshot.processes.iter().map(|record| (record.process, record)).collect();
        let own = self.accounts.iter().map(|(digest, account)| (*digest, account.charge_update()));
        let own = UsageRecord { process: local, age_ms: 0, used: own.collect() };
        let mut missing = FxHashMap::default();
        for record in self.processes.records(view.window, now).iter().chain([&own]) {
            let told = told.get(&record.process);
            for (organisation, known) in &record.used {
                let units = match told.and_then(|told| told.used_of(organisation)) {
                    Some(told) => (known.total - told.total).max(0) as f64,
                    None => known.recent as f64,
                };
                *missing.entry(*organisation).or_default() += units;
            }
        }
        missing
    }

    /// Records what a peer tells of another process, unless this one has heard it later itself.
    fn record_newer(
        &mut self,
        record: &UsageRecord<OrganisationDigest, ChargeUpdate>,
        now: Instant,
    ) {
        let age = Duration::from_millis(record.age_ms);
        let reported_at = now.checked_sub(age).unwrap_or(now);
        let known_at = self.processes.reported_at(record.process);
        if known_at.is_some_and(|at| at >= reported_at) {
            return;
        }
        for (organisation, update) in &record.used {
            self.processes.record(record.process, *organisation, *update, reported_at);
        }
    }

    /// Removes charges that have left the window, and processes that have long been silent.
    pub fn tick(&mut self, view: &QuotaView, now: Instant) {
        for account in self.accounts.values_mut() {
            account.expire(view, now);
        }
        self.processes.tick(now);
        self.report_ages.tick(now);
    }

    /// Returns the moment up to which what peers did is known, in the mean, if any reports.
    pub fn known_until(&self, now: Instant) -> Option<Instant> {
        self.report_ages.known_until(now)
    }

    /// Returns the limit of `organisation` and what is left of it; `None` if it has no limit.
    pub fn left(
        &self,
        organisation: OrganisationDigest,
        view: &QuotaView,
    ) -> Option<(QuotaLimit, f64)> {
        let account = self.accounts.get(&organisation)?;
        Some((account.limit(), account.left(view)))
    }
}
