//! Quotas of organisations over all gateways: sliding windows whose charges are replicated.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::charge_update::ChargeUpdate;
use super::quota_account::QuotaAccount;
use super::quota_view::QuotaView;
use crate::model::OrganisationRegistry;
use crate::model::QuotaLimit;

/// Digest of an organisation's name. Quotas are per name, whatever keys the organisation has.
pub type OrganisationDigest = u32;
/// A peer counts as started before this gateway when it has run for this much longer.
const PRIOR_START_MARGIN: Duration = Duration::from_millis(500);
/// After a longer time without reports of a peer, what it charged meanwhile may have left the
/// window.
const LATE_REPORT_AGE: Duration = Duration::from_secs(3);
/// How long the totals of a peer are kept after its last report. When the peer reports again after
/// it was frozen or partitioned, what it has charged meanwhile follows from them.
const PEER_RETENTION: Duration = Duration::from_secs(600);

/// Returns the digest of an organisation's name, as used in reports.
pub fn organisation_digest(name: &str) -> OrganisationDigest {
    umberglade_wire::digest(name.as_bytes()) as OrganisationDigest
}

/// What one peer has charged.
#[derive(Debug)]
struct PeerCharges {
    incarnation: u64,
    received_at: Instant,
    reported: FxHashMap<OrganisationDigest, ChargeUpdate>,
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
    accounts: FxHashMap<OrganisationDigest, QuotaAccount>,
    peers: FxHashMap<u64, PeerCharges>,
}

impl QuotaPool {
    /// Creates the pool of a gateway that started at `started_at`.
    pub fn new(started_at: Instant) -> Self {
        QuotaPool { started_at, accounts: FxHashMap::default(), peers: FxHashMap::default() }
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

    /// Applies what `peer`, which has run for `age`, reports to have charged.
    pub fn apply_peer_charges(
        &mut self,
        peer: u64,
        incarnation: u64,
        age: Duration,
        charges: &[(OrganisationDigest, ChargeUpdate)],
        view: &QuotaView,
        now: Instant,
    ) {
        let started_before =
            age > now.saturating_duration_since(self.started_at) + PRIOR_START_MARGIN;
        let known = self.peers.entry(peer).or_insert_with(|| PeerCharges {
            incarnation,
            received_at: now,
            reported: FxHashMap::default(),
        });
        let is_late = now.saturating_duration_since(known.received_at) > LATE_REPORT_AGE;
        known.received_at = now;
        if known.incarnation != incarnation {
            *known = PeerCharges { incarnation, received_at: now, reported: FxHashMap::default() };
        }
        for (organisation, update) in charges {
            let previous = known.reported.insert(*organisation, *update);
            let Some(account) = self.accounts.get_mut(organisation) else { continue };
            match previous {
                Some(previous) => {
                    account.apply_demand(update.asked.saturating_sub(previous.asked) as f64, now);
                    let units = (update.total - previous.total) as f64;
                    if is_late {
                        account.apply_late_charge(units, view, now);
                    } else {
                        account.apply_charge(units, now);
                    }
                }
                None if started_before => account.apply_prior_charge(update.recent as f64, now),
                None => {
                    account.apply_demand(update.asked as f64, now);
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

    /// Removes charges that have left the window, and peers without a report for
    /// [`PEER_RETENTION`].
    pub fn tick(&mut self, view: &QuotaView, now: Instant) {
        for account in self.accounts.values_mut() {
            account.expire(view, now);
        }
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.received_at) < PEER_RETENTION);
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
