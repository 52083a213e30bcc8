//! How far a follower of a table has read.

use std::time::Duration;
use std::time::Instant;

use crate::cluster::COPY_SETTLING_TIME;
use crate::model::StoreEra;
use crate::model::StoreStamp;

/// How far a follower has read.
#[derive(Debug)]
pub(super) struct ReadProgress {
    /// The version from which the feed goes on; `None` if the table is listed next.
    pub position: Option<StoreStamp>,
    /// True if only a listing tells what the table holds now.
    pub must_list: bool,
    /// The era of the store from which the content held here is; `None` before there is any.
    pub held_era: Option<StoreEra>,
    /// When the table is listed again, since rows that are gone have been removed from the copy from
    /// which the store has come back.
    settles_at: Option<Instant>,
    /// When the rows held here last matched the store.
    pub known_at: Instant,
    /// Number of failed reads since the last response.
    pub failures: u32,
    /// When the last of them failed.
    pub failed_at: Option<Instant>,
    /// True if a response was late since the last one.
    pub is_late: bool,
    /// True while a listing that was due is under way and late.
    pub is_listing_late: bool,
    /// True if this gateway relied on its peers since the last response.
    was_listener: bool,
}

impl ReadProgress {
    pub fn new(now: Instant) -> Self {
        ReadProgress {
            position: None,
            must_list: false,
            held_era: None,
            settles_at: None,
            known_at: now,
            failures: 0,
            failed_at: None,
            is_late: false,
            is_listing_late: false,
            was_listener: false,
        }
    }

    /// Records that peers read for this gateway. What they send is in no feed from the last
    /// position.
    pub fn begin_listening(&mut self) {
        self.position = None;
        self.was_listener = true;
    }

    pub fn list_next(&mut self) {
        self.position = None;
        self.must_list = true;
        self.is_listing_late = false;
    }

    /// Lists the table next if what a copy has kept of it counts from now on.
    pub fn list_if_settled(&mut self, now: Instant) {
        if self.settles_at.take_if(|at| now >= *at).is_some() {
            self.list_next();
        }
    }

    /// Returns true if this gateway has relied on its peers since the last response.
    pub fn was_listener(&self) -> bool {
        self.was_listener
    }

    /// Returns true after a failed or late read.
    pub fn is_out(&self) -> bool {
        self.failures > 0 || self.is_late
    }

    /// Returns for how long the table's content was not known. Peers may stop sending notices
    /// because the store does not respond.
    pub fn outage(&self) -> Duration {
        if self.is_out() || self.was_listener { self.known_at.elapsed() } else { Duration::ZERO }
    }

    /// Records that a read failed.
    pub fn record_failure(&mut self, now: Instant) {
        self.failures += 1;
        self.failed_at = Some(now);
        self.is_listing_late = false;
    }

    /// Records that a response is late.
    pub fn record_late(&mut self) {
        self.is_late = true;
        self.is_listing_late = self.must_list;
    }

    /// Records that all changes up to `through` are known.
    pub fn record_read(&mut self, through: StoreStamp, has_expired_rows: bool) {
        let now = Instant::now();
        let era = through.seen_era();
        if self.held_era.is_some_and(|held| held != era) {
            self.settles_at = Some(now + COPY_SETTLING_TIME);
        }
        self.held_era = Some(era);
        let was_listing = self.position.is_none();
        self.position = Some(through);
        self.must_list = false;
        if has_expired_rows && !was_listing {
            self.list_next();
        }
        self.known_at = now;
        self.failures = 0;
        self.failed_at = None;
        self.is_late = false;
        self.is_listing_late = false;
        self.was_listener = false;
    }
}
