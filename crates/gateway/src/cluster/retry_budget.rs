//! How many repeated sends this gateway may make, so that all gateways
//! together stay within a service's bound.

use std::collections::HashMap;
use std::collections::VecDeque;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;

use super::report_interval;
use super::server_digest;
use crate::model::ServiceName;

/// The part of the bound that is used. The rest covers what other gateways
/// send between two of their reports, and that a window here and one of a
/// server begin at different moments.
const USABLE_FRACTION: f64 = 0.75;
/// How old the others' counts may be, in reports: one may be lost.
const MAX_COUNT_AGE_REPORTS: u32 = 2;
/// Counts are kept in this many parts of a window.
const BUCKETS: u32 = 100;

/// What a repeated send is for.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RetryPriority {
    /// Without it the request fails.
    Needed,
    /// It only makes another repeat cheaper.
    Helpful,
}

impl RetryPriority {
    /// The part of the bound that may be used up for it. Helpful repeats
    /// leave the last of it for needed ones: when three engines crash at
    /// once, their streams break without. More than that buys nothing:
    /// streams read in by decode servers hold up others.
    fn fraction(self) -> f64 {
        match self {
            RetryPriority::Needed => 1.0,
            RetryPriority::Helpful => 0.9,
        }
    }
}

/// Requests and repeated sends for one service in the last window.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct RetryCount {
    pub requests: u32,
    pub repeats: u32,
}

/// What the other gateways tell of one service.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerRetries {
    /// Gateways that a fresh report has come from.
    pub gateways: usize,
    /// The sum of their counts.
    pub count: RetryCount,
}

#[derive(Debug)]
struct Bucket {
    started_at: Instant,
    count: RetryCount,
}

/// Repeated sends within a bound shared without a coordinator.
///
/// Guards against a retry storm: when servers fail, the servers left would
/// get the failed work again and again. In any window all gateways together
/// may repeat `ratio` of the requests plus `slack`. Gateways tell each other
/// their counts, so one whose servers fail may use what the others don't.
/// The part of a gateway that isn't peers is left to it: cut off from each
/// other, all still stay within the bound.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// When the process began to count.
    started_at: Instant,
    counts: HashMap<ServiceName, VecDeque<Bucket>>,
}

impl RetryBudget {
    /// An allowance of `ratio` of the requests plus `slack`, over all
    /// gateways, in any `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration, now: Instant) -> Self {
        RetryBudget { ratio, slack, window, started_at: now, counts: HashMap::new() }
    }

    /// Counts a caller's request for `service`.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        self.bucket(service, now).requests += 1;
    }

    /// Counts an arrival at `service` that no allowance was asked for: a prompt
    /// sent for the first time, to a server that rejected it.
    ///
    /// Guards against a bound that is exceeded unseen: when servers come back
    /// under new ids, each prompt sent to an old one is rejected and counts.
    pub fn record_retry(&mut self, service: &ServiceName, now: Instant) {
        self.bucket(service, now).repeats += 1;
    }

    /// True when one repeated send may be made; it is then counted.
    /// `members` is how many gateways there are, this one included.
    /// `priority` says how much must be left for others.
    pub fn consume(
        &mut self,
        service: &ServiceName,
        members: usize,
        peers: PeerRetries,
        priority: RetryPriority,
        now: Instant,
    ) -> bool {
        let local = self.count(service, now);
        let requests = f64::from(local.requests + peers.count.requests);
        let known = (peers.gateways + 1).min(members.max(1));
        let slack = self.slack * known as f64 / members.max(1) as f64 * self.uptime_fraction(now);
        let bound = (self.ratio * requests + slack) * USABLE_FRACTION * priority.fraction();
        let used = f64::from(local.repeats + peers.count.repeats);
        if used + 1.0 > bound.max(1.0)
            || !self.is_within_local_share(service, members, bound - used, now)
        {
            return false;
        }
        self.bucket(service, now).repeats += 1;
        true
    }

    /// True when one more repeat keeps to this gateway's part of what is left.
    ///
    /// Guards against many gateways that each use up what is left before
    /// they hear of each other: between reports each takes at most its part,
    /// and where that is under one, a draw decides.
    fn is_within_local_share(
        &self,
        service: &ServiceName,
        members: usize,
        left: f64,
        now: Instant,
    ) -> bool {
        let lag = report_interval(members) * MAX_COUNT_AGE_REPORTS;
        let recent = self.counts.get(service).map_or(0, |buckets| {
            let is_recent =
                |bucket: &&Bucket| now.saturating_duration_since(bucket.started_at) < lag;
            buckets.iter().filter(is_recent).map(|bucket| bucket.count.repeats).sum()
        });
        let share = left / members.max(1) as f64;
        let available = share - f64::from(recent);
        available >= 1.0 || (available > 0.0 && fastrand::f64() < available)
    }

    /// This gateway's count of each service, for a report to the others.
    pub fn local_counts(&mut self, now: Instant) -> Vec<(u64, RetryCount)> {
        let services: Vec<ServiceName> = self.counts.keys().cloned().collect();
        services
            .iter()
            .map(|service| (server_digest(service), self.count(service, now)))
            .filter(|(_, count)| *count != RetryCount::default())
            .collect()
    }

    /// Guards against a bound used up twice: a process that has just started_at
    /// does not know what the one before it sent in the same window, so its
    /// slack grows over one window.
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
