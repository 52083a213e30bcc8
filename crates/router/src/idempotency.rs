//! The idempotency ledger: records in the platform's table that make a
//! non-idempotent call (a booking, an invoice-bearing action) run at most
//! once, whatever retries, races and lost replies come.
//!
//! A daemon claims a key with a conditional write before it sends the
//! call, and records the outcome after. A retry of a finished call gets
//! the recorded answer; a retry while the outcome is unknown is told so.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use serde::Deserialize;
use umberglade_wire::WireError;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::plain::IDEMPOTENCY_TABLE;
use umberglade_wire::plain::IdempotencyRecord;
use umberglade_wire::pool;

use crate::platform::PlatformClient;
use crate::platform::WriteOutcome;

/// Claims before giving up on a key that keeps changing under us.
const CLAIM_ATTEMPTS: usize = 3;
/// Tries to settle a claim whose outcome the platform never told.
const RELEASE_ATTEMPTS: u32 = 12;
/// The pause before the first of them; each next one is longer.
const RELEASE_DELAY: Duration = Duration::from_millis(500);

/// What a claim on a key came to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// This daemon holds the key at `version`: it may send the call.
    Claimed { version: RowVersion },
    /// The call already ran; give the caller this answer again.
    Replay { status: u16, body: String },
    /// Another attempt holds the key and its outcome is not known yet.
    InProgress,
}

/// The records of one platform table service.
#[derive(Debug, Clone)]
pub struct IdempotencyLedger {
    platform: PlatformClient,
    /// Daemon id and incarnation: no two processes share it.
    claimant: Arc<str>,
    next_claim: Arc<AtomicU64>,
}

impl IdempotencyLedger {
    /// The ledger of daemon `daemon_id` in its run `incarnation`.
    pub fn new(platform: PlatformClient, daemon_id: &str, incarnation: u64) -> Self {
        let claimant = format!("{daemon_id}-{incarnation:x}").into();
        IdempotencyLedger { platform, claimant, next_claim: Arc::new(AtomicU64::new(0)) }
    }

    /// The record's key for `key` of `organisation`: keys of different
    /// organisations never meet.
    pub fn record_key(organisation: &str, key: &str) -> String {
        format!("{organisation}/{key}")
    }

    /// Claims `record_key`, or says why not.
    ///
    /// Guards against running twice: the claim is a conditional write on
    /// the version read, so of two daemons racing for one key exactly one
    /// writes. A reply that is lost is read back (`put_checked`), and the
    /// claim's own number tells our write from another attempt's: without
    /// it, two retries racing through one daemon wrote the same value, and
    /// the loser, its conflict lost, took the winner's record for its own
    /// and ran the call a second time.
    pub async fn claim(&self, record_key: &str) -> Result<Claim, WireError> {
        let number = self.next_claim.fetch_add(1, Ordering::Relaxed);
        let started = IdempotencyRecord::Started { claim: format!("{}-{number}", self.claimant) };
        for _ in 0..CLAIM_ATTEMPTS {
            let current = self.platform.get(IDEMPOTENCY_TABLE, record_key).await?;
            let expect_version = match current {
                None => 0,
                Some(row) => match serde_json::from_value::<IdempotencyRecord>(row.value) {
                    Ok(IdempotencyRecord::Done { status, body }) => {
                        return Ok(Claim::Replay { status, body });
                    }
                    Ok(IdempotencyRecord::Started { .. }) | Err(_) => return Ok(Claim::InProgress),
                    Ok(IdempotencyRecord::NotRun { .. }) => row.version,
                },
            };
            let written = self
                .platform
                .put_checked(IDEMPOTENCY_TABLE, record_key, expect_version, &started)
                .await;
            match written {
                Ok(WriteOutcome::Written(row)) => {
                    return Ok(Claim::Claimed { version: row.version });
                }
                Ok(WriteOutcome::Conflict { .. }) => continue,
                Err(error) => {
                    self.release_unconfirmed(record_key, started);
                    return Err(error);
                }
            }
        }
        Ok(Claim::InProgress)
    }

    /// Records the outcome of a claimed call at `version`. A failure here
    /// leaves the record `Started`: retries are told the outcome is
    /// unknown, never run again.
    pub async fn finish(&self, record_key: &str, version: RowVersion, record: &IdempotencyRecord) {
        match self.platform.put_checked(IDEMPOTENCY_TABLE, record_key, version, record).await {
            Ok(WriteOutcome::Written(_)) => {}
            Ok(WriteOutcome::Conflict { current_version }) => {
                tracing::error!(
                    record_key,
                    current_version,
                    "idempotency record moved under its holder"
                );
            }
            Err(error) => {
                tracing::warn!(record_key, %error, "idempotency outcome not recorded; stays unknown")
            }
        }
    }

    /// Frees a key whose claim may have been written though we told the
    /// caller that nothing ran.
    ///
    /// Guards against a key stuck for good: the platform went down between
    /// our write and its reply, the caller was refused ("not run"), and
    /// its retry would find a claim that nobody will ever finish.
    fn release_unconfirmed(&self, record_key: &str, started: IdempotencyRecord) {
        let ledger = self.clone();
        let record_key = record_key.to_owned();
        pool::spawn(async move {
            for attempt in 1..=RELEASE_ATTEMPTS {
                smol::Timer::after(RELEASE_DELAY * attempt).await;
                if ledger.release(&record_key, &started).await.is_ok() {
                    return;
                }
            }
            tracing::warn!(record_key, "claim not settled; its outcome stays unknown");
        });
    }

    /// Marks `record_key` as not run if it still holds our own claim.
    async fn release(
        &self,
        record_key: &str,
        started: &IdempotencyRecord,
    ) -> Result<(), WireError> {
        let row = self.platform.get(IDEMPOTENCY_TABLE, record_key).await?;
        // With no row yet, the write may still be applied late: a record
        // at version 1 makes its condition fail.
        let version = match row {
            None => 0,
            Some(row) if holds(&row.value, started) => row.version,
            Some(_) => return Ok(()),
        };
        let not_run = IdempotencyRecord::NotRun { status: 503, body: "not sent".into() };
        self.platform
            .put_checked(IDEMPOTENCY_TABLE, record_key, version, &not_run)
            .await
            .map(|_| ())
    }
}

/// True when `value` is the record `expected`.
fn holds(value: &serde_json::Value, expected: &IdempotencyRecord) -> bool {
    IdempotencyRecord::deserialize(value).is_ok_and(|record| record == *expected)
}
