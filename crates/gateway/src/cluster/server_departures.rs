//! Servers that have stated in a response that they are draining.

use std::time::Duration;
use std::time::Instant;

use super::IncarnationTable;
use super::update_sample::sample;
use crate::model::ServerIncarnation;

/// How long a new departure is eligible for every report.
const REPORT_WINDOW: Duration = Duration::from_secs(3);
/// Maximum number of departures in a report. Limits them to an eighth of the maximum datagram
/// size.
const MAX_REPORTED: usize = 96;

/// The server incarnations that have stated that they are draining. A departure is never withdrawn.
#[derive(Debug, Default)]
pub struct ServerDepartures {
    /// When this gateway first learned of the departure.
    known_since: IncarnationTable<Instant>,
}

impl ServerDepartures {
    /// Records that `server` is draining. Returns true if a new entry was added.
    pub fn record(&mut self, server: ServerIncarnation, now: Instant) -> bool {
        let is_new = !self.contains(server);
        self.known_since.get_or_insert_with(server, now, || now).is_some() && is_new
    }

    /// Returns the departures that a report includes: recent ones, or with `reports_all` every
    /// entry; a random sample if there are too many.
    pub fn updates(&self, reports_all: bool, now: Instant) -> Vec<ServerIncarnation> {
        let is_recent = |since: &Instant| now.saturating_duration_since(*since) < REPORT_WINDOW;
        let reported = self.known_since.iter().filter(|(_, since)| reports_all || is_recent(since));
        sample(reported.map(|(server, _)| server).collect(), MAX_REPORTED)
    }

    pub fn contains(&self, server: ServerIncarnation) -> bool {
        self.known_since.get(server).is_some()
    }

    /// Removes servers that have been unlisted for the retention period of the table.
    pub fn tick(&mut self, is_listed: impl Fn(ServerIncarnation) -> bool, now: Instant) {
        self.known_since.tick(is_listed, now);
    }

    pub fn is_empty(&self) -> bool {
        self.known_since.is_empty()
    }
}
