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
const BEFORE: Duration = Duration::from_millis(500);
/// What a gateway charged while it was not heard for longer may be past by now.
const LATE: Duration = Duration::from_secs(3);
/// How long a gateway that is not heard is remembered: what it charged is known
/// when it is heard again, frozen or cut off meanwhile.
const PEER_MEMORY: Duration = Duration::from_secs(600);

/// The digest of an organisation's name, as it stands in reports.
pub fn organisation_digest(name: &str) -> OrganisationDigest {
    umberglade_wire::digest(name.as_bytes()) as OrganisationDigest
}

/// What one other gateway has charged.
#[derive(Debug)]
struct PeerCharges {
    incarnation: u64,
    heard_at: Instant,
    told: FxHashMap<OrganisationDigest, ChargeUpdate>,
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
    begun: Instant,
    accounts: FxHashMap<OrganisationDigest, QuotaAccount>,
    peers: FxHashMap<u64, PeerCharges>,
}

impl QuotaPool {
    /// That of a gateway that has begun at `begun`.
    pub fn new(begun: Instant) -> Self {
        QuotaPool { begun, accounts: FxHashMap::default(), peers: FxHashMap::default() }
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
    pub fn give_back(&mut self, organisation: OrganisationDigest, cost: u64, now: Instant) {
        if let Some(account) = self.accounts.get_mut(&organisation) {
            account.give_back(cost as f64, now);
        }
    }

    /// Takes in what `peer`, which has run for `age`, has charged.
    pub fn hear(
        &mut self,
        peer: u64,
        incarnation: u64,
        age: Duration,
        charges: &[(OrganisationDigest, ChargeUpdate)],
        view: &QuotaView,
        now: Instant,
    ) {
        let was_before = age > now.saturating_duration_since(self.begun) + BEFORE;
        let known = self.peers.entry(peer).or_insert_with(|| PeerCharges {
            incarnation,
            heard_at: now,
            told: FxHashMap::default(),
        });
        let is_late = now.saturating_duration_since(known.heard_at) > LATE;
        known.heard_at = now;
        if known.incarnation != incarnation {
            *known = PeerCharges { incarnation, heard_at: now, told: FxHashMap::default() };
        }
        for (organisation, news) in charges {
            let before = known.told.insert(*organisation, *news);
            let Some(account) = self.accounts.get_mut(organisation) else { continue };
            match before {
                Some(before) => {
                    account.note_asked(news.asked.saturating_sub(before.asked) as f64, now);
                    let units = (news.total - before.total) as f64;
                    if is_late {
                        account.take_late(units, view, now);
                    } else {
                        account.take_heard(units, now);
                    }
                }
                None if was_before => account.take_earlier(news.recent as f64, now),
                None => {
                    account.note_asked(news.asked as f64, now);
                    account.take_heard(news.recent as f64, now);
                }
            }
        }
    }

    /// What a report tells of this gateway's charges: those that have changed since
    /// the last, or with `tells_all` all.
    pub fn news(&mut self, tells_all: bool) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        let accounts = self.accounts.iter_mut();
        let told = accounts
            .filter_map(|(organisation, account)| Some((*organisation, account.tell(tells_all)?)));
        told.collect()
    }

    /// What this gateway charged within the window, for those that are told rarely.
    pub fn recent_news(&self) -> Vec<(OrganisationDigest, ChargeUpdate)> {
        let accounts = self.accounts.iter().map(|(organisation, of)| (*organisation, of.news()));
        accounts.filter(|(_, news)| news.recent > 0).collect()
    }

    /// Drops what has left the window, and forgets gateways that are long gone.
    pub fn tick(&mut self, view: &QuotaView, now: Instant) {
        for account in self.accounts.values_mut() {
            account.expire(view, now);
        }
        self.peers.retain(|_, peer| now.saturating_duration_since(peer.heard_at) < PEER_MEMORY);
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
