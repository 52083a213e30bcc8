//! Limits the retries of this gateway, so that all gateways together stay within a service's bound.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::name_digest;
use super::report_interval;
use crate::model::ServiceName;

/// Fraction of the bound that is used. The rest covers what peers send between two of their
/// reports, and that the windows of a gateway and of a server begin at different moments.
const USABLE_FRACTION: f64 = 0.75;
/// Fraction of the bound up to which prompts are sent to separate prefill servers. A first prefill
/// needs no budget, and counts as a retry when it has failed. The rest covers the prefills that are
/// in progress.
const PREFILL_FRACTION: f64 = 0.8;
/// Largest age of the peers' counts, in report intervals: one report may be lost.
const MAX_COUNT_AGE_REPORTS: u32 = 2;
/// Number of buckets that a window is divided into.
const BUCKETS: u32 = 100;

/// What a retry is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPriority {
    /// Without it the request fails.
    Needed,
    /// It only makes another retry cheaper.
    Helpful,
}

impl RetryPriority {
    /// Returns the fraction of the bound that retries of this priority may consume.
    ///
    /// Helpful retries leave the rest to needed ones: when three engines crash at once, their
    /// streams break without it. Leaving less to helpful ones has no benefit, because prompts that
    /// decode servers prefill themselves delay other streams.
    fn fraction(self) -> f64 {
        match self {
            RetryPriority::Needed => 1.0,
            RetryPriority::Helpful => 0.9,
        }
    }
}

/// Requests and retries for one service in the last window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCount {
    pub requests: u32,
    pub repeats: u32,
}

/// Counts of the peers for one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerRetries {
    /// Number of peers with a fresh report.
    pub fresh_peers: usize,
    /// Sum of their counts.
    pub count: RetryCount,
}

/// Retries of all gateways in the last window, and their bound.
struct RetryUsage {
    bound: f64,
    retries: f64,
    /// Number of gateways whose requests and retries are known, including this one.
    known_gateways: usize,
}

#[derive(Debug)]
struct Bucket {
    started_at: Instant,
    count: RetryCount,
}

/// Limits retries to a bound that gateways share without a coordinator.
///
/// Prevents retry storms: when servers fail, the remaining ones would get the failed work again and
/// again. In any window all gateways together may retry `ratio` of the requests plus `slack`.
/// Gateways report their counts to each other, so one whose servers fail may use what its peers do
/// not. The share of a gateway that does not report stays reserved for it, so that gateways cut off
/// from each other still keep within the bound.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// When the process started counting.
    started_at: Instant,
    counts: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests plus `slack`, over all gateways, in any
    /// `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration, now: Instant) -> Self {
        RetryBudget { ratio, slack, window, started_at: now, counts: HashMap::new() }
    }

    /// Counts a caller's request for `service`.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Counts an arrival at `service` that did not consume budget: a prompt's first attempt, at a
    /// server that rejected it.
    ///
    /// Prevents the bound from being exceeded unnoticed: when servers come back under new ids, each
    /// prompt sent to an old id is rejected and counts.
    pub fn record_retry(&mut self, service: &ServiceName, now: Instant) {
        self.bucket(service, now).repeats += 1;
    }

    /// Returns true if one retry is allowed, and counts it.
    ///
    /// `gateways` is the number of gateways, including this one. `priority` determines how much
    /// must be left for other retries.
    pub fn consume(
        &mut self,
        service: &ServiceName,
        gateways: usize,
        peers: PeerRetries,
        priority: RetryPriority,
        now: Instant,
    ) -> bool {
        let usage = self.usage(service, gateways, peers, now);
        let bound = usage.bound * USABLE_FRACTION * priority.fraction();
        let used = usage.retries;
        if used + 1.0 > bound.max(1.0)
            || !self.is_within_local_share(service, usage.known_gateways, bound - used, now)
        {
            return false;
        }
        self.bucket(service, now).repeats += 1;
        true
    }

    /// Returns true if a prompt may be sent to a separate prefill server for the first time.
    ///
    /// Prevents prefill servers that reject or fail every prompt from adding an arrival to each
    /// request, without any limit: the decode servers prefill the prompts meanwhile.
    pub fn allows_first_prefill(
        &mut self,
        service: &ServiceName,
        gateways: usize,
        peers: PeerRetries,
        now: Instant,
    ) -> bool {
        let usage = self.usage(service, gateways, peers, now);
        usage.retries < (usage.bound * PREFILL_FRACTION).max(1.0)
    }

    /// Returns the bound on the retries in the last window, as far as this gateway knows the
    /// requests, and the known retries.
    fn usage(
        &mut self,
        service: &ServiceName,
        gateways: usize,
        peers: PeerRetries,
        now: Instant,
    ) -> RetryUsage {
        let local = self.count(service, now);
        let requests = f64::from(local.requests + peers.count.requests);
        let known = (peers.fresh_peers + 1).min(gateways.max(1));
        let slack = self.slack * known as f64 / gateways.max(1) as f64 * self.uptime_fraction(now);
        RetryUsage {
            bound: self.ratio * requests + slack,
            retries: f64::from(local.repeats + peers.count.repeats),
            known_gateways: known,
        }
    }

    /// Returns true if one more retry keeps within this gateway's share of the remaining budget.
    ///
    /// Prevents many gateways from each consuming the remaining budget before they receive each
    /// other's reports: between reports each takes at most its share, and a share below one is
    /// granted at random with that probability. What is left is that of the `gateways` whose counts
    /// are known; the share of the others is not in it.
    fn is_within_local_share(
        &self,
        service: &ServiceName,
        gateways: usize,
        left: f64,
        now: Instant,
    ) -> bool {
        let lag = report_interval(gateways) * MAX_COUNT_AGE_REPORTS;
        let recent = self.counts.get(service).map_or(0, |buckets| {
            let is_recent =
                |bucket: &&Bucket| now.saturating_duration_since(bucket.started_at) < lag;
            buckets.iter().filter(is_recent).map(|bucket| bucket.count.repeats).sum()
        });
        let share = left / gateways.max(1) as f64;
        let available = share - f64::from(recent);
        available >= 1.0 || (available > 0.0 && fastrand::f64() < available)
    }

    /// Returns this gateway's counts of each service, for a report to its peers.
    pub fn local_counts(&mut self, now: Instant) -> Vec<(u64, RetryCount)> {
        let services: Vec<ServiceName> = self.counts.keys().cloned().collect();
        services
            .iter()
            .map(|service| (name_digest(service), self.count(service, now)))
            .filter(|(_, count)| *count != RetryCount::default())
            .collect()
    }

    /// Returns the fraction of the slack that is available this long after the process started.
    ///
    /// Prevents the bound from being used twice: a new process does not know what the one before it
    /// sent in the same window, so its slack grows over one window.
    fn uptime_fraction(&self, now: Instant) -> f64 {
        let uptime = now.saturating_duration_since(self.started_at).as_secs_f64();
        (uptime / self.window.as_secs_f64().max(0.001)).min(1.0)
    }

    fn count(&mut self, service: &ServiceName, now: Instant) -> RetryCount {
        let window = self.window;
        let Some(buckets) = self.counts.get_mut(service) else { return RetryCount::default() };
        buckets.retain(|bucket| now.saturating_duration_since(bucket.started_at) <= window);
        buckets.iter().fold(RetryCount::default(), |sum, bucket| RetryCount {
            requests: sum.requests + bucket.count.requests,
            repeats: sum.repeats + bucket.count.repeats,
        })
    }

    fn bucket(&mut self, service: &ServiceName, now: Instant) -> &mut RetryCount {
        let bucket_length = self.window / BUCKETS;
        let buckets = self.counts.entry(service.clone()).or_default();
        let is_current = buckets
            .back()
            .is_some_and(|last| now.saturating_duration_since(last.started_at) < bucket_length);
        if !is_current {
            buckets.push_back(Bucket { started_at: now, count: RetryCount::default() });
            if buckets.len() > BUCKETS as usize * 2 {
                buckets.pop_front();
            }
        }
        &mut buckets.back_mut().expect("a bucket was just added").count
    }
}
