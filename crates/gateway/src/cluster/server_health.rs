//! Recent health of a server, judged by this gateway's own requests only.

use std::time::Duration;
use std::time::Instant;

use strum::Display;

/// How one attempt at a server ended, as far as the server's health is concerned.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "snake_case")]
pub enum ServerOutcome {
    /// The server responded as expected.
    Fine,
    /// The server stated that it was full, or that its state had changed.
    Refused,
    /// The server stated that it is another server, or serves another stage.
    Misdirected,
    /// The server responded with an error of its own.
    Erred,
    /// The server broke off the response, or sent something that is no response of its own.
    Failed,
    /// The server sent nothing for longer than the attempt waited.
    Silent,
    /// The server could not be reached.
    Unreachable,
}

/// Half-life of the failure fraction while no outcomes are recorded. Short enough that a server
/// that has recovered is used again within twice the latency target of a stream; long enough to
/// cover the gaps between requests to one of 18 servers.
const HALF_LIFE: Duration = Duration::from_millis(2500);
/// Weight of one outcome in the failure fraction.
const SAMPLE_WEIGHT: f64 = 0.25;
/// Duration of an ejection after one connection failure. Doubles with each consecutive one.
const MIN_EJECTION: Duration = Duration::from_millis(400);
/// Maximum duration of an ejection before the next request probes the server.
const MAX_EJECTION: Duration = Duration::from_secs(3);
/// How long a probe may take before another is sent.
const PROBE_TIMEOUT: Duration = Duration::from_millis(1500);
/// Maximum time for which a sound server sends nothing. One that is silent for longer is ejected.
pub const MAX_SOUND_SILENCE: Duration = Duration::from_secs(2);
/// How long connections to a server are used only once after a malformed response.
const SUSPECT_WINDOW: Duration = Duration::from_secs(8);

/// A period in which attempts met only silence.
#[derive(Debug, Clone, Copy)]
struct SilentPeriod {
    began_at: Instant,
    /// When the last silence was recorded.
    last_at: Instant,
}

/// Health of one server.
#[derive(Debug, Clone, Default)]
pub struct ServerHealth {
    /// Fraction of recent attempts that failed, from 0 to 1.
    failure_fraction: f64,
    updated_at: Option<Instant>,
    consecutive_failures: u32,
    ejected_until: Option<Instant>,
    /// Set while one request probes whether the server is back.
    probe_until: Option<Instant>,
    /// `None` once the server has sent anything since.
    silent_period: Option<SilentPeriod>,
    responded_at: Option<Instant>,
    suspect_until: Option<Instant>,
}

impl ServerHealth {
    /// Records how an attempt ended, as if it had begun at once.
    pub fn record(&mut self, outcome: ServerOutcome, now: Instant) {
        self.record_since(outcome, now, now);
    }

    /// Records how an attempt ended that has waited for the server since `waited_since`.
    ///
    /// If the server has responded to another one since, a silence is only the end of an earlier
    /// one, and begins none. Prevents an attempt that times out just after a pause from making the
    /// next pause count as part of it.
    pub fn record_since(&mut self, outcome: ServerOutcome, waited_since: Instant, now: Instant) {
        let has_responded = self.responded_at.is_some_and(|at| at > waited_since);
        match outcome {
            ServerOutcome::Silent if has_responded => {}
            ServerOutcome::Silent => self.extend_silence(now),
            ServerOutcome::Failed | ServerOutcome::Unreachable => {}
            ServerOutcome::Fine
            | ServerOutcome::Refused
            | ServerOutcome::Misdirected
            | ServerOutcome::Erred => self.record_response(now),
        }
        let sample = match outcome {
            ServerOutcome::Fine => 0.0,
            ServerOutcome::Refused | ServerOutcome::Misdirected => return,
            // An error may be caused by the request itself; a transport failure never is.
            ServerOutcome::Erred => 0.5,
            ServerOutcome::Failed | ServerOutcome::Silent | ServerOutcome::Unreachable => 1.0,
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
            ServerOutcome::Silent if !has_responded && self.is_silence_conclusive(now) => {
                self.eject(now);
            }
            ServerOutcome::Silent
            | ServerOutcome::Refused
            | ServerOutcome::Misdirected
            | ServerOutcome::Erred => {}
        }
    }

    /// Records that the server has sent something.
    pub fn record_response(&mut self, now: Instant) {
        self.silent_period = None;
        self.responded_at = Some(now);
    }

    /// Records a silence: part of the one before unless that is long ago, as the server may have
    /// responded to others since.
    fn extend_silence(&mut self, now: Instant) {
        let is_recent = |period: &SilentPeriod| {
            now.saturating_duration_since(period.last_at) < MAX_SOUND_SILENCE
        };
        let began_at = self.silent_period.filter(is_recent).map_or(now, |period| period.began_at);
        self.silent_period = Some(SilentPeriod { began_at, last_at: now });
    }

    /// Returns true if a silence at `now` is to eject the server: it has been silent for longer than
    /// a sound one may, or has been ejected and not responded since.
    fn is_silence_conclusive(&self, now: Instant) -> bool {
        let has_been_silent = |period: SilentPeriod| {
            now.saturating_duration_since(period.began_at) >= MAX_SOUND_SILENCE
        };
        match self.ejected_until {
            Some(until) => now >= until,
            None => self.silent_period.is_some_and(has_been_silent),
        }
    }

    /// Ejects the server for a duration that doubles with each consecutive failure, after which one
    /// request probes it.
    ///
    /// Prevents a dead server from receiving one request after another until its registration
    /// expires, which takes seconds.
    fn eject(&mut self, now: Instant) {
        let doublings = self.consecutive_failures.min(4);
        let ejection = (MIN_EJECTION * 2u32.pow(doublings)).min(MAX_EJECTION);
        self.consecutive_failures += 1;
        self.ejected_until = Some(now + ejection);
        self.probe_until = None;
    }

    /// Forgets failures that were not the server's. Connections that may hold stray bytes stay
    /// suspect.
    pub fn forgive(&mut self) {
        *self = ServerHealth { suspect_until: self.suspect_until, ..ServerHealth::default() };
    }

    /// Records that a request is being sent to the server. The first one after an ejection is a
    /// probe.
    ///
    /// Prevents a whole burst from going to a dead server each time its ejection ends: since it has
    /// no load, it looks like the one with the most capacity.
    pub fn record_attempt(&mut self, now: Instant) {
        if self.ejected_until.is_some() && !self.is_ejected(now) {
            self.probe_until = Some(now + PROBE_TIMEOUT);
        }
    }

    /// Returns the fraction of recent attempts that failed. Decays while no outcomes are recorded.
    pub fn failure_fraction(&self, now: Instant) -> f64 {
        let Some(at) = self.updated_at.filter(|_| self.failure_fraction > 0.0) else { return 0.0 };
        let age = now.saturating_duration_since(at).as_secs_f64();
        self.failure_fraction * 0.5f64.powf(age / HALF_LIFE.as_secs_f64())
    }

    /// Returns true while the server is ejected or a probe is in progress.
    pub fn is_ejected(&self, now: Instant) -> bool {
        let is_in = |until: Option<Instant>| until.is_some_and(|until| now < until);
        is_in(self.ejected_until) || is_in(self.probe_until)
    }

    /// Records that a response to another request, or bytes that are no response, arrived on a
    /// connection.
    pub fn record_malformed(&mut self, now: Instant) {
        self.suspect_until = Some(now + SUSPECT_WINDOW);
    }

    /// Returns true while each connection to the server should carry only one request: stray bytes
    /// left on a reused connection would corrupt the next response.
    pub fn is_suspect(&self, now: Instant) -> bool {
        self.suspect_until.is_some_and(|until| now < until)
    }
}
