//! Limits the retries of this gateway, so that all gateways together stay within a service's bound.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::name_digest;
use super::report_interval;
use super::retry_window::RetryCount;
use super::retry_window::RetryUsage;
use super::retry_window::RetryWindow;
use super::usage_ledger::ProcessId;
use super::usage_ledger::UsageLedger;
use super::usage_ledger::UsageRecord;
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
/// Fraction of the bound that gateways may use after a start of which nobody knows what was used in
/// the window before. What the bound allows beyond [`USABLE_FRACTION`] covers three such starts in
/// one window.
const START_FRACTION: f64 = 0.08;

/// Digest of the name of a service.
type ServiceDigest = u64;

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

/// Retries of all gateways in the last window, and their bound.
struct BudgetView {
    bound: f64,
    retries: f64,
    /// Number of gateways whose requests and retries are known, including this one.
    known_gateways: usize,
}

/// What is counted of one service.
#[derive(Debug)]
struct ServiceRetries {
    window: RetryWindow,
    /// What this process has counted since its start.
    local_total: RetryCount,
}

/// Limits retries to a bound that gateways share without a coordinator.
///
/// Prevents retry storms: when servers fail, the remaining ones would get the failed work again and
/// again. In any window all gateways together may retry `ratio` of the requests plus `slack`.
/// Gateways report their counts to each other, so one whose servers fail may use what its peers do
/// not. What a gateway process has reported counts until the window is over, also when the process
/// has ended. The share of a gateway that does not report stays reserved for it, so that gateways
/// cut off from each other still keep within the bound.
#[derive(Debug)]
pub struct RetryBudget {
    ratio: f64,
    slack: f64,
    window: Duration,
    /// Since when this process knows what all gateways have used.
    known_since: Instant,
    services: FxHashMap<ServiceDigest, ServiceRetries>,
    processes: UsageLedger<ServiceDigest, RetryUsage>,
}

impl RetryBudget {
    /// Creates a budget of `ratio` of the requests plus `slack`, over all gateways, in any
    /// `window`.
    pub fn new(ratio: f64, slack: f64, window: Duration, now: Instant) -> Self {
        RetryBudget {
            ratio,
            slack,
            window,
            known_since: now,
            services: FxHashMap::default(),
            processes: UsageLedger::default(),
        }
    }

    /// Counts a caller's request for `service`.
    pub fn record_request(&mut self, service: &ServiceName, now: Instant) {
        self.add_local(name_digest(service), RetryCount { requests: 1, repeats: 0 }, now);
    }

    /// Counts an arrival at `service` that did not consume budget: a prompt's first attempt, at a
    /// server that rejected it.
    ///
    /// Prevents the bound from being exceeded unnoticed: when servers come back under new ids, each
    /// prompt sent to an old id is rejected and counts.
    pub fn record_retry(&mut self, service: &ServiceName, now: Instant) {
        self.add_local(name_digest(service), RetryCount { requests: 0, repeats: 1 }, now);
    }

    /// Returns true if one retry is allowed, and counts it.
    ///
    /// `gateways` is the number of gateways, including this one, and `fresh_peers` the number of
    /// the others whose counts are current. `priority` determines how much must be left for other
    /// retries.
    pub fn consume(
        &mut self,
        service: &ServiceName,
        gateways: usize,
        fresh_peers: usize,
        priority: RetryPriority,
        now: Instant,
    ) -> bool {
        let digest = name_digest(service);
        let usage = self.usage(digest, gateways, fresh_peers, now);
        let bound = usage.bound * USABLE_FRACTION * priority.fraction();
        let used = usage.retries;
        if used + 1.0 > bound.max(1.0)
            || !self.is_within_local_share(digest, usage.known_gateways, bound - used, now)
        {
            return false;
        }
        self.add_local(digest, RetryCount { requests: 0, repeats: 1 }, now);
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
        fresh_peers: usize,
        now: Instant,
    ) -> bool {
        let usage = self.usage(name_digest(service), gateways, fresh_peers, now);
        usage.retries < (usage.bound * PREFILL_FRACTION).max(1.0)
    }

    /// Applies what `process` reports to have counted.
    pub fn apply_report(
        &mut self,
        process: ProcessId,
        used: &[(ServiceDigest, RetryUsage)],
        now: Instant,
    ) {
        for (service, usage) in used {
            self.apply_usage(process, *service, *usage, now);
        }
    }

    /// Applies what `process`, of the previous build, reports to have counted in the last window. It
    /// does not report totals.
    pub fn apply_window_counts(
        &mut self,
        process: ProcessId,
        counts: &[(ServiceDigest, RetryCount)],
        now: Instant,
    ) {
        for (service, recent) in counts {
            let known = self.processes.used(process, service).unwrap_or_default();
            let added = RetryCount {
                requests: recent.requests.saturating_sub(known.recent.requests),
                repeats: recent.repeats.saturating_sub(known.recent.repeats),
            };
            let mut total = known.total;
            total += added;
            self.apply_usage(process, *service, RetryUsage { total, recent: *recent }, now);
        }
    }

    /// Applies what a peer tells of other processes, and that it knows of all of them since
    /// `known_for`.
    pub fn apply_records(
        &mut self,
        records: &[UsageRecord<ServiceDigest, RetryUsage>],
        known_for: Duration,
        now: Instant,
    ) {
        for record in records {
            let age = Duration::from_millis(record.age_ms);
            let Some(reported_at) = now.checked_sub(age) else { continue };
            let known_at = self.processes.reported_at(record.process);
            if age < self.window && known_at.is_none_or(|at| at < reported_at) {
                self.apply_report(record.process, &record.used, reported_at);
            }
        }
        let known_since = now.checked_sub(known_for).unwrap_or(now);
        self.known_since = self.known_since.min(known_since);
    }

    /// Returns what other processes have counted in the last window.
    pub fn records(&self, now: Instant) -> Vec<UsageRecord<ServiceDigest, RetryUsage>> {
        self.processes.records(self.window, now)
    }

    /// Returns for how long this process has known what all gateways use, at most the window.
    pub fn known_for(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.known_since).min(self.window)
    }

    /// Returns true if this process knows what all gateways have used in the last window.
    pub fn knows_window(&self, now: Instant) -> bool {
        self.known_for(now) >= self.window
    }

    /// Returns what all gateways have counted of `service` in the last window, as far as this one
    /// knows.
    pub fn window_count(&mut self, service: &ServiceName, now: Instant) -> RetryCount {
        self.service(name_digest(service)).window.sum(now)
    }

    /// Returns what this process has counted of each service, for a report to its peers.
    pub fn local_usage(&mut self, now: Instant) -> Vec<(ServiceDigest, RetryUsage)> {
        let services = self.services.iter_mut().map(|(digest, service)| {
            let recent = service.window.local_sum(now);
            (*digest, RetryUsage { total: service.local_total, recent })
        });
        services.filter(|(_, usage)| usage.recent != RetryCount::default()).collect()
    }

    /// Forgets processes that have long been silent.
    pub fn tick(&mut self, now: Instant) {
        self.processes.tick(now);
    }

    /// Returns the bound on the retries in the last window, as far as this gateway knows the
    /// requests, and the known retries.
    fn usage(
        &mut self,
        service: ServiceDigest,
        gateways: usize,
        fresh_peers: usize,
        now: Instant,
    ) -> BudgetView {
        let known = (fresh_peers + 1).min(gateways.max(1));
        let slack = self.slack * known as f64 / gateways.max(1) as f64;
        let grantable = if self.knows_window(now) { 1.0 } else { START_FRACTION };
        let count = self.service(service).window.sum(now);
        BudgetView {
            bound: (self.ratio * f64::from(count.requests) + slack) * grantable,
            retries: f64::from(count.repeats),
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
        &mut self,
        service: ServiceDigest,
        gateways: usize,
        left: f64,
        now: Instant,
    ) -> bool {
        let lag = report_interval(gateways) * MAX_COUNT_AGE_REPORTS;
        let recent = self.service(service).window.local_retries_within(lag, now);
        let share = left / gateways.max(1) as f64;
        let available = share - f64::from(recent);
        available >= 1.0 || (available > 0.0 && fastrand::f64() < available)
    }

    fn apply_usage(
        &mut self,
        process: ProcessId,
        service: ServiceDigest,
        usage: RetryUsage,
        reported_at: Instant,
    ) {
        // Datagrams overtake each other.
        let known = self.processes.used(process, &service);
        if known.is_some_and(|known| usage.is_before(known)) {
            return;
        }
        let previous = self.processes.record(process, service, usage, reported_at);
        let window = &mut self.service(service).window;
        match previous {
            Some(previous) => window.add(usage.since(previous), reported_at),
            None => window.add_prior(usage.recent, reported_at),
        }
    }

    fn add_local(&mut self, service: ServiceDigest, count: RetryCount, now: Instant) {
        let service = self.service(service);
        service.local_total += count;
        service.window.add_local(count, now);
    }

    fn service(&mut self, service: ServiceDigest) -> &mut ServiceRetries {
        let length = self.window;
        self.services.entry(service).or_insert_with(|| ServiceRetries {
            window: RetryWindow::new(length),
            local_total: RetryCount::default(),
        })
    }
}
