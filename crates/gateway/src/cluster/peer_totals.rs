//! Sums over the reports of all other gateways.

use rustc_hash::FxHashMap;

use super::LoadShare;
use super::PeerQueues;
use super::PeerUpdate;
use super::QueueUpdate;
use super::RetryCount;

/// What the other gateways together tell of one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServerSum {
    /// Their work there.
    pub load: LoadShare,
    /// How many of them pass it over.
    pub aside: u32,
    /// How many of them have told it to change its stage.
    pub changing: u32,
}

impl ServerSum {
    /// Takes out what `news` tells of the server with `digest`.
    pub fn remove(&mut self, news: &PeerUpdate, digest: u64) {
        for (_, load) in news.loads.iter().filter(|(server, _)| *server == digest) {
            self.load = self.load.minus(load.bounded());
        }
        let count = |servers: &[u64]| servers.iter().filter(|server| **server == digest).count();
        self.aside -= count(&news.aside) as u32;
        self.changing -= count(&news.changing) as u32;
    }
}

/// What the other gateways together tell of one service.
///
/// Whole numbers throughout, so that taking a report out again leaves exactly
/// what there was before it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ServiceSum {
    requests: u64,
    repeats: u64,
    waiting: u64,
    on_time: u64,
    pace_milli: u64,
    arrivals_milli: u64,
}

impl ServiceSum {
    /// Requests and repeats.
    pub fn retries(&self) -> RetryCount {
        RetryCount { requests: saturated(self.requests), repeats: saturated(self.repeats) }
    }

    /// Their waiting lines.
    pub fn lines(&self) -> PeerQueues {
        PeerQueues {
            waiting: saturated(self.waiting),
            within_target: saturated(self.on_time),
            placement_rate: self.pace_milli as f64 / 1000.0,
            arrival_rate: self.arrivals_milli as f64 / 1000.0,
        }
    }

    /// Takes out what `news` tells of the service with `digest`.
    pub fn remove(&mut self, news: &PeerUpdate, digest: u64) {
        let is_this = |service: &u64| *service == digest;
        for (_, count) in news.retries.iter().filter(|(service, _)| is_this(service)) {
            self.remove_retries(*count);
        }
        for (_, line) in news.lines.iter().filter(|(service, _)| is_this(service)) {
            self.remove_line(*line);
        }
    }

    fn add_retries(&mut self, count: RetryCount) {
        self.requests += u64::from(count.requests);
        self.repeats += u64::from(count.repeats);
    }

    fn remove_retries(&mut self, count: RetryCount) {
        self.requests -= u64::from(count.requests);
        self.repeats -= u64::from(count.repeats);
    }

    fn add_line(&mut self, line: QueueUpdate) {
        self.waiting += u64::from(line.waiting);
        self.on_time += u64::from(line.on_time);
        self.pace_milli += u64::from(line.pace_milli);
        self.arrivals_milli += u64::from(line.arrivals_milli);
    }

    fn remove_line(&mut self, line: QueueUpdate) {
        self.waiting -= u64::from(line.waiting);
        self.on_time -= u64::from(line.on_time);
        self.pace_milli -= u64::from(line.pace_milli);
        self.arrivals_milli -= u64::from(line.arrivals_milli);
    }
}

fn saturated(sum: u64) -> u32 {
    u32::try_from(sum).unwrap_or(u32::MAX)
}

/// The sums, kept up to date as reports are added and removed.
///
/// A placement looks at each server once. Summing over the reports each time
/// instead cost 79 look-ups a server, and 700,000 a placement with 140
/// engines, which took a small instance's whole processor.
///
/// Invariant: equal to the sum over all reports added and not removed.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct PeerTotals {
    servers: FxHashMap<u64, ServerSum>,
    services: FxHashMap<u64, ServiceSum>,
}

impl PeerTotals {
    /// What is told of the server with `digest`.
    pub fn server(&self, digest: u64) -> ServerSum {
        self.servers.get(&digest).copied().unwrap_or_default()
    }

    /// What is told of the service with `digest`.
    pub fn service(&self, digest: u64) -> ServiceSum {
        self.services.get(&digest).copied().unwrap_or_default()
    }

    /// Counts a report.
    pub fn add(&mut self, news: &PeerUpdate) {
        for (server, load) in &news.loads {
            let sum = self.servers.entry(*server).or_default();
            sum.load = sum.load.plus(load.bounded());
        }
        for server in &news.aside {
            self.servers.entry(*server).or_default().aside += 1;
        }
        for server in &news.changing {
            self.servers.entry(*server).or_default().changing += 1;
        }
        for (service, count) in &news.retries {
            self.services.entry(*service).or_default().add_retries(*count);
        }
        for (service, line) in &news.lines {
            self.services.entry(*service).or_default().add_line(*line);
        }
    }

    /// Takes out a report that was counted.
    pub fn remove(&mut self, news: &PeerUpdate) {
        for (server, load) in &news.loads {
            self.change_server(*server, |sum| sum.load = sum.load.minus(load.bounded()));
        }
        for server in &news.aside {
            self.change_server(*server, |sum| sum.aside -= 1);
        }
        for server in &news.changing {
            self.change_server(*server, |sum| sum.changing -= 1);
        }
        for (service, count) in &news.retries {
            self.change_service(*service, |sum| sum.remove_retries(*count));
        }
        for (service, line) in &news.lines {
            self.change_service(*service, |sum| sum.remove_line(*line));
        }
    }

    /// Changes a server's sum; one that has become empty is dropped, so that
    /// servers long gone take no memory.
    fn change_server(&mut self, digest: u64, change: impl FnOnce(&mut ServerSum)) {
        let sum = self.servers.entry(digest).or_default();
        change(sum);
        if *sum == ServerSum::default() {
            self.servers.remove(&digest);
        }
    }

    fn change_service(&mut self, digest: u64, change: impl FnOnce(&mut ServiceSum)) {
        let sum = self.services.entry(digest).or_default();
        change(sum);
        if *sum == ServiceSum::default() {
            self.services.remove(&digest);
        }
    }
}
