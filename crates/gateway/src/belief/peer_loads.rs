//! How much work the other gateways have at each server.

use std::collections::HashMap;
use std::time::Duration;
use std::time::Instant;

use serde::Deserialize;
use serde::Serialize;
use smallvec::SmallVec;

use super::HeardRetries;
use super::LineNews;
use super::OtherLines;
use super::RetryCount;
use crate::model::ConfigVersion;
use crate::model::PromptShape;

/// How long a peer's report counts: a dozen reports at the pace of a small
/// site, and two at the slowest of one each 250 ms, so that a lost datagram
/// changes nothing. Work of a peer that died ends with its connections,
/// within about as long.
const REPORT_LIFE: Duration = Duration::from_millis(600);
/// After this long without a report a peer no longer counts as live.
const PEER_LIFE: Duration = Duration::from_secs(5);

/// Work at one server.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadShare {
    /// Requests sent and not yet answered in full.
    pub running: u32,
    /// Tokens of their prompts.
    pub prompt_tokens: u32,
    /// Tokens they are expected to generate, those already made included.
    pub output_tokens: u32,
    /// Tokens already generated.
    pub made_tokens: u32,
}

impl LoadShare {
    /// One stream of `shape` that begins.
    pub fn of_stream(shape: &PromptShape) -> LoadShare {
        LoadShare {
            running: 1,
            prompt_tokens: shape.prompt_tokens,
            output_tokens: shape.expected_output(),
            made_tokens: 0,
        }
    }

    /// One prompt to be read.
    pub fn of_prompt(prompt_tokens: u32) -> LoadShare {
        LoadShare { running: 1, prompt_tokens, ..LoadShare::default() }
    }

    /// One call to a plain service.
    pub fn of_call() -> LoadShare {
        LoadShare { running: 1, ..LoadShare::default() }
    }

    /// The sum of both.
    pub fn plus(self, other: LoadShare) -> LoadShare {
        LoadShare {
            running: self.running + other.running,
            prompt_tokens: self.prompt_tokens + other.prompt_tokens,
            output_tokens: self.output_tokens + other.output_tokens,
            made_tokens: self.made_tokens + other.made_tokens,
        }
    }

    /// What is left when `other`, counted in before, ends.
    pub fn minus(self, other: LoadShare) -> LoadShare {
        LoadShare {
            running: self.running.saturating_sub(other.running),
            prompt_tokens: self.prompt_tokens.saturating_sub(other.prompt_tokens),
            output_tokens: self.output_tokens.saturating_sub(other.output_tokens),
            made_tokens: self.made_tokens.saturating_sub(other.made_tokens),
        }
    }

    /// The most tokens of KV cache that this work is expected to hold at any
    /// later moment.
    ///
    /// Requests that began together all hold their whole answers in the end.
    /// Requests at all stages free more, as the first of them end, than the
    /// others still add, since a prompt is longer than its answer: they hold
    /// the most now. In between, the part still to be generated counts by
    /// how far together they are.
    pub fn peak_tokens(&self) -> f64 {
        let output = f64::from(self.output_tokens);
        let left = f64::from(self.output_tokens.saturating_sub(self.made_tokens));
        let held = f64::from(self.prompt_tokens) + f64::from(self.made_tokens);
        if output <= 0.0 {
            return held;
        }
        let together = (2.0 * left / output - 1.0).clamp(0.0, 1.0);
        held + left * together
    }
}

/// A server's id as it stands in load reports: 8 bytes instead of about 12.
pub fn server_digest(server: &str) -> u64 {
    umberglade_wire::digest(server.as_bytes())
}

/// What one report says.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct PeerNews {
    /// Work at each server that has any, by the server's digest.
    pub loads: HashMap<u64, LoadShare>,
    /// Requests and repeats, by the service's digest.
    pub retries: HashMap<u64, RetryCount>,
    /// Servers the peer passes over, by digest.
    pub aside: SmallVec<[u64; 4]>,
    /// Requests that wait for engines' room, by the service's digest.
    pub lines: HashMap<u64, LineNews>,
    /// For how long the peer has read the servers' table without an outage.
    pub store_calm: Duration,
    /// Engines that the peer has told to change their stage, by digest.
    pub changing: SmallVec<[u64; 4]>,
    /// The configuration in force at the peer; 0 while it knows none.
    pub config: ConfigVersion,
}

#[derive(Debug)]
struct PeerReport {
    incarnation: u64,
    sequence: u64,
    heard_at: Instant,
    news: PeerNews,
}

/// The newest report of each peer.
#[derive(Debug, Default)]
pub struct PeerLoads {
    reports: HashMap<String, PeerReport>,
}

impl PeerLoads {
    /// Takes in a report; false when it is older than the one known.
    ///
    /// Guards against datagrams that overtake each other: an older count
    /// would stand until the next report. A new incarnation starts anew.
    pub fn note(
        &mut self,
        peer: &str,
        incarnation: u64,
        sequence: u64,
        news: PeerNews,
        now: Instant,
    ) -> bool {
        if let Some(known) = self.reports.get(peer)
            && known.incarnation == incarnation
            && known.sequence >= sequence
        {
            return false;
        }
        let report = PeerReport { incarnation, sequence, heard_at: now, news };
        self.reports.insert(peer.to_owned(), report);
        true
    }

    /// What live reports say of the server with `digest`.
    pub fn load(&self, digest: u64, now: Instant) -> LoadShare {
        self.fresh(now)
            .filter_map(|report| report.news.loads.get(&digest))
            .fold(LoadShare::default(), |sum, load| sum.plus(*load))
    }

    /// What live reports say of repeats to the service with `digest`.
    pub fn retries(&self, digest: u64, now: Instant) -> HeardRetries {
        self.fresh(now).fold(HeardRetries::default(), |mut sum, report| {
            let count = report.news.retries.get(&digest).copied().unwrap_or_default();
            sum.gateways += 1;
            sum.count.requests += count.requests;
            sum.count.repeats += count.repeats;
            sum
        })
    }

    /// How many requests for the service with `digest` wait at gateways whose
    /// line goes before `own`.
    pub fn waiting_before(&self, digest: u64, own: &LineNews, now: Instant) -> usize {
        self.fresh(now)
            .filter_map(|report| {
                let mut line = *report.news.lines.get(&digest)?;
                let heard = now.saturating_duration_since(report.heard_at);
                line.first_age_ms += heard.as_millis() as u32;
                (line.waiting > 0 && line.goes_before(own)).then_some(line.waiting as usize)
            })
            .sum()
    }

    /// The lines for the service with `digest` at live peers, together.
    pub fn other_lines(&self, digest: u64, now: Instant) -> OtherLines {
        let lines = self.fresh(now).filter_map(|report| report.news.lines.get(&digest));
        lines.fold(OtherLines::default(), |sum, line| OtherLines {
            waiting: sum.waiting + line.waiting,
            on_time: sum.on_time + line.on_time,
            pace: sum.pace + f64::from(line.pace_milli) / 1000.0,
            arrivals: sum.arrivals + f64::from(line.arrivals_milli) / 1000.0,
        })
    }

    /// True when some live peer has read the store without an outage for the
    /// last `span`.
    pub fn has_read_for(&self, span: Duration, now: Instant) -> bool {
        self.fresh(now).any(|report| report.news.store_calm >= span)
    }

    /// True when some peer has told the engine with `digest` to change.
    pub fn is_changing(&self, digest: u64, now: Instant) -> bool {
        self.fresh(now).any(|report| report.news.changing.contains(&digest))
    }

    /// True when this gateway, with digest `own`, is the one to act for all:
    /// of those that have read the store for `calm` it has the least digest.
    /// More than one may think so; who acts must claim the duty first.
    pub fn is_first(&self, own: u64, calm: Duration, now: Instant) -> bool {
        self.reports
            .iter()
            .filter(|(_, report)| now.saturating_duration_since(report.heard_at) < REPORT_LIFE)
            .filter(|(_, report)| report.news.store_calm >= calm)
            .all(|(peer, _)| own < server_digest(peer))
    }

    /// Peers that a fresh report has come from.
    pub fn heard(&self, now: Instant) -> usize {
        self.fresh(now).count()
    }

    /// How many live reports pass over the server with `digest`.
    pub fn aside_count(&self, digest: u64, now: Instant) -> usize {
        self.fresh(now).filter(|report| report.news.aside.contains(&digest)).count()
    }

    fn fresh(&self, now: Instant) -> impl Iterator<Item = &PeerReport> {
        self.reports
            .values()
            .filter(move |report| now.saturating_duration_since(report.heard_at) < REPORT_LIFE)
    }

    /// Peers heard of lately.
    pub fn live_peers(&self, now: Instant) -> usize {
        self.reports
            .values()
            .filter(|report| now.saturating_duration_since(report.heard_at) < PEER_LIFE)
            .count()
    }

    /// Forgets reports of peers that no longer count.
    pub fn forget_old(&mut self, now: Instant) {
        self.reports.retain(|_, report| now.saturating_duration_since(report.heard_at) < PEER_LIFE);
    }
}
