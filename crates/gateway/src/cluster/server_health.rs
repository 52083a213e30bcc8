//! How a server has lately fared, judged from our own requests only.

use std::time::Duration;
use std::time::Instant;

use strum::Display;

/// How one send to a server ended, as far as the server's health goes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServerOutcome {
    /// It answered as it should.
    Fine,
    /// It said that it was full, or that its state had changed.
    Refused,
    /// It said that it is another server, or does another part of the work.
    Misdirected,
    /// It answered with an error of its own.
    Erred,
    /// It broke off, fell silent, or sent what is no answer of its own.
    Failed,
    /// It could not be reached.
    Unreachable,
}

/// How fast the failure share forgets: halved in this time without news.
/// Short enough that a server which has recovered is back at work within
/// two target latencies of a stream; long enough to cover the gaps between
/// requests to one of 18 servers.
const HALF_LIFE: Duration = Duration::from_millis(2500);
/// The weight of one outcome in the failure share.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Set aside after one connection failure, doubled with each in a row.
const MIN_EJECTION: Duration = Duration::from_millis(400);
/// The longest a server is set aside before the next request tries it.
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// How long a probe may take before another is sent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// How long after a garbled answer its connections are used only once.
const SUSPECT_WINDOW: Duration = Duration::from_secs(8);

/// One server's record.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Share of sends that failed lately; from 0 to 1.
    failure_fraction: f64,
    updated_at: Option<Instant>,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    /// One request is finding out whether the server is back.
    probe_until: Option<Instant>,
    suspect_until: Option<Instant>,
}

impl ServerHealth {
    /// Takes in how a send ended.
    pub fn record(&mut self, outcome: ServerOutcome, now: Instant) {
        let sample = match outcome {
            ServerOutcome::Fine => 0.0,
            ServerOutcome::Refused | ServerOutcome::Misdirected => return,
            // An error may be the request's own fault; failing in the
            // transport never is.
            ServerOutcome::Erred => 0.5,
            ServerOutcome::Failed | ServerOutcome::Unreachable => 1.0,
        };
        self.failure_fraction =
            self.failure_fraction(now) * (1.0 - SAMPLE_WEIGHT) + sample * SAMPLE_WEIGHT;
        self.updated_at = Some(now);
        match outcome {
            ServerOutcome::Fine => {
                self.consecutive_failures = 0;
                self.ejected_until = None;
                self.probe_until = None;
            }
            ServerOutcome::Unreachable => self.eject(now),
            ServerOutcome::Failed if self.consecutive_failures > 0 => self.eject(now),
            ServerOutcome::Failed => self.consecutive_failures = 1,
            ServerOutcome::Refused | ServerOutcome::Misdirected | ServerOutcome::Erred => {}
        }
    }

    /// Guards against a dead server taking one request after another until
    /// its registration lapses (seconds): it is passed over for a pause
    /// that doubles, then one request finds out.
    fn eject(&mut self, now: Instant) {
        let doublings = self.consecutive_failures.min(4);
        let ejection = (MIN_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.consecutive_failures += 1;
        self.ejected_until = Some(now + ejection);
        self.probe_until = None;
    }

    /// Work is being sent there. After a pause the first request is a probe.
    ///
    /// Guards against a whole burst going to a dead server each time its
    /// pause ends: it has no work, so it looks like the one with most room.
    pub fn record_attempt(&mut self, now: Instant) {
        if self.ejected_until.is_some() && !self.is_ejected(now) {
            self.probe_until = Some(now + PROBE_TIMEOUT);
        }
    }

    /// The share of sends that failed lately, fading without news.
    pub fn failure_fraction(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at.filter(|_| self.failure_fraction > 0.0) else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure_fraction * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// True while the server is passed over, or a probe is out.
    pub fn is_ejected(&self, now: Instant) -> bool {
        let is_in = |until: Option<Instant>| until.is_some_and(|until| now < until);
        is_in(self.ejected_until) || is_in(self.probe_until)
    }

    /// An answer to another request, or bytes that are no answer, came on a
    /// connection.
    pub fn record_malformed(&mut self, now: Instant) {
        self.suspect_until = Some(now + SUSPECT_WINDOW);
    }

    /// True while connections to the server should carry one request only:
    /// stray bytes left on a kept one would spoil the next answer.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
}
