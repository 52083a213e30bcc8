//! Learns how old what peers report is.

use std::time::Duration;
use std::time::Instant;

use rustc_hash::FxHashMap;

use super::usage_ledger::ProcessId;

/// A process without a report for longer does not count, like a peer of a quota.
const SILENCE_TIMEOUT: Duration = Duration::from_secs(1);
/// The time for which the shortest delay of a process is kept at least. Clocks that differ by
/// 100 ppm drift apart by some milliseconds in this time.
const BASELINE_PERIOD: Duration = Duration::from_secs(30);
/// A process counts once it has been heard for so long: the first reports may all be late.
const SETTLING_TIME: Duration = Duration::from_secs(2);
/// How long a silent process is kept.
const RETENTION: Duration = Duration::from_secs(60);
/// Maximum number of processes, of some 100 bytes each. The ages of others are not learned.
const MAX_PROCESSES: usize = 4096;

/// When a process started and what it has told last, by the clock of this one.
#[derive(Debug)]
struct ProcessClock {
    /// The earliest start that reports of the present period show. A report that was late by a
    /// second shows a start that is late by as much.
    started_at: Instant,
    /// The earliest start that reports of the period before show.
    prior_started_at: Instant,
    period_began_at: Instant,
    first_received_at: Instant,
    received_at: Instant,
    /// The moment up to which the process has told what it did.
    known_until: Instant,
}

impl ProcessClock {
    fn new(started_at: Instant, now: Instant) -> Self {
        ProcessClock {
            started_at,
            prior_started_at: started_at,
            period_began_at: now,
            first_received_at: now,
            received_at: now,
            known_until: now,
        }
    }

    fn record(&mut self, started_at: Instant, age: Duration, now: Instant) {
        if now.saturating_duration_since(self.period_began_at) >= BASELINE_PERIOD {
            self.prior_started_at = self.started_at;
            self.started_at = started_at;
            self.period_began_at = now;
        }
        self.started_at = self.started_at.min(started_at);
        self.received_at = now;
        let sent_at = self.started_at.min(self.prior_started_at) + age;
        self.known_until = self.known_until.max(sent_at);
    }
}

/// How old what each other process has reported is.
///
/// Each report contains for how long its sender has run. The shortest time that reports of a
/// process have taken lately is the normal one, and each later report's delay beyond it follows,
/// with no clock in common.
#[derive(Debug, Default)]
pub struct ReportAges {
    processes: FxHashMap<ProcessId, ProcessClock>,
}

impl ReportAges {
    /// Records a report of `process`, which it sent when it had run for `age`.
    pub fn record(&mut self, process: ProcessId, age: Duration, now: Instant) {
        let Some(started_at) = now.checked_sub(age) else { return };
        let is_known = self.processes.contains_key(&process);
        if !is_known && self.processes.len() >= MAX_PROCESSES {
            return;
        }
        let clock = self.processes.entry(process);
        clock.or_insert_with(|| ProcessClock::new(started_at, now)).record(started_at, age, now);
    }

    /// Returns the moment up to which what the other processes did is known, in the mean of those
    /// that report; `None` if there are none.
    pub fn known_until(&self, now: Instant) -> Option<Instant> {
        let clocks = self.processes.values().filter(|clock| {
            now.saturating_duration_since(clock.received_at) < SILENCE_TIMEOUT
                && now.saturating_duration_since(clock.first_received_at) >= SETTLING_TIME
        });
        let (mut count, mut sum) = (0, Duration::ZERO);
        for clock in clocks {
            count += 1;
            sum += now.saturating_duration_since(clock.known_until);
        }
        now.checked_sub(sum.checked_div(count)?)
    }

    /// Removes processes that have long been silent.
    pub fn tick(&mut self, now: Instant) {
        self.processes
            .retain(|_, clock| now.saturating_duration_since(clock.received_at) < RETENTION);
    }
}
