//! What organisations may still have run, over all gateways (a sliding window whose
//! charges are replicated).

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::charge_update::ChargeUpdate;
use super::quota_account::QuotaAccount;
use super::quota_view::QuotaView;
use crate::model::OrganisationRegistry;
use crate::model::QuotaLimit;

/// An organisation's name as its digest: quotas are per name, whatever its keys.
pub type OrganisationDigest = u32;
/// A gateway that has run for this much longer than another was there before it.
const PRIOR_START_MARGIN: Duration = Duration::from_millis(500);
/// What a gateway charged while it was not heard for longer may be past by now.
const LATE_REPORT_AGE: Duration = Duration::from_secs(3);
/// How long a gateway that is not heard is remembered: what it charged is known
/// when it is heard again, frozen or cut off meanwhile.
const PEER_RETENTION: Duration = Duration::from_secs(600);

/// The digest of an organisation's name, as it stands in reports.
pub fn organisation_digest(name: &str) -> OrganisationDigest {
    umberglade_wire::digest(name.as_bytes()) as OrganisationDigest
}

/// What one other gateway has charged.
#[derive(Debug)]
struct PeerCharges {
    incarnation: u64,
    received_at: Instant,
    reported: FxHashMap<OrganisationDigest, ChargeUpdate>,
}

/// The quotas of all organisations.
///
/// Each gateway charges what it lets run to a window of its own that stands for
/// all, and tells the others its totals; each adds what the others charged. Nobody
/// owns a quota. Where callers ask for more than is left until reports tell of it,
/// each gateway lets through that part of them; until it hears of the others again
/// it gives out no more than its part of the demand, and one that hears few of them
/// no more than its part of the quota.
#[derive(Debug)]
pub struct QuotaPool {
    started_at: Instant,
    accounts: FxHashMap<OrganisationDigest, QuotaAccount>,
    peers: FxHashMap<u64, PeerCharges>,
}

impl QuotaPool {
    /// That of a gateway that has begun at `begun`.
    pub fn new(started_at: Instant) -> Self {
        QuotaPool { started_at, accounts: FxHashMap::default(), peers: FxHashMap::default() }
    }

    /// A configuration with `organisations` is in force; the names whose limit has
    /// changed.
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

    /// Charges `cost` units, or says after how long that may be tried again; `draw`
    /// is from 0 to 1.
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

    /// Gives back `cost` units that were charged for what has not run.
    pub fn refund(&mut self, organisation: OrganisationDigest, cost: u64, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.refund(cost as f64, now);
        }
    }

    /// Takes in what `peer`, which has run for `age`, has charged.
    pub fn apply_peer_charges(
        &mut self,
        peer: u64,
        incarnation: u64,
        age: Duration,
        charges: &[(OrganisationDigest, ChargeUpdate)],
        view: &QuotaView,
        now: Instant,
    ) {
        let is_older = age > now.saturating_duration_since(self.started_at) + PRIOR_START_MARGIN;
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
                None if is_older => account.apply_prior_charge(update.recent as f64, now),
                None => {
                    account.apply_demand(update.asked as f64, now);
                    account.apply_charge(update.recent as f64, now);
                }
            }
        }
    }

    /// What a report tells of this gateway's charges: those that have changed since
    /// the last, or with `tells_all` all.
    pub fn updates(&mut self, reports_all: bool) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        let accounts = self.accounts.iter_mut();
        let updates = accounts
            .filter_map(|(digest, account)| Some((*digest, account.take_update(reports_all)?)));
        updates.collect()
    }

    /// What this gateway charged within the window, for those that are told rarely.
    pub fn recent_updates(&self) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        let accounts = self
            .accounts
            .iter()
            .map(|(organisation, account)| (*organisation, account.charge_update()));
        accounts.filter(|(_, update)| update.recent > 0).collect()
    }

    /// Drops what has left the window, and forgets gateways that are long gone.
    pub fn tick(&mut self, view: &QuotaView, now: Instant) {
        for account in self.accounts.values_mut() {
            account.expire(view, now);
        }
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.received_at) < PEER_RETENTION);
    }

    /// The limit of `organisation` and what is left of it; `None` without one.
    pub fn left(
        &self,
        organisation: OrganisationDigest,
        view: &QuotaView,
    ) -> Option<(QuotaLimit, f64)> {
        let account = self.accounts.get(&organisation)?;
        Some((account.limit(), account.left(view)))
    }
}
