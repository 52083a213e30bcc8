//! The idempotency ledger: records in a platform table that make a non-idempotent call (such as a
//! booking or an action that is invoiced) run at most once despite retries, races and lost replies.
//!
//! A daemon claims a key with a conditional write before it sends the call, and records the
//! outcome afterwards. A retry of a finished call gets the recorded response. A retry while the
//! outcome is unknown gets an error that says so.

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

/// Attempts to claim a key that other writers keep changing.
const CLAIM_ATTEMPTS: usize = 3;
/// Attempts to release a claim whose write the platform did not confirm.
const RELEASE_ATTEMPTS: u32 = 12;
/// The delay before the first of these attempts. It grows with each attempt.
const RELEASE_DELAY: Duration = Duration::from_millis(500);

/// The outcome of claiming a key.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Claim {
    /// This daemon holds the key at `version` and may send the call.
    Claimed { version: RowVersion },
    /// The call has already run. The caller gets this response again.
    Replay { status: u16, body: String },
    /// Another attempt holds the key and its outcome is not known yet.
    InProgress,
}

/// The idempotency records of one platform table service.
#[derive(Debug, Clone)]
pub struct IdempotencyLedger {
    platform: PlatformClient,
    /// Daemon id and incarnation, which no two processes share.
    claimant: Arc<str>,
    next_claim: Arc<AtomicU64>,
}

impl IdempotencyLedger {
    /// Creates the ledger of daemon `daemon_id` in its run `incarnation`.
    pub fn new(platform: PlatformClient, daemon_id: &str, incarnation: u64) -> Self {
        let claimant = format!("{daemon_id}-{incarnation:x}").into();
        IdempotencyLedger { platform, claimant, next_claim: Arc::new(AtomicU64::new(0)) }
    }

    /// Returns the record key for `key` of `organisation`. Keys of different organisations never
    /// collide.
    pub fn record_key(organisation: &str, key: &str) -> String {
        format!("{organisation}/{key}")
    }

    /// Claims `record_key`, or returns why it cannot be claimed.
    ///
    /// Prevents a call from running twice: the claim is a conditional write on the version read,
    /// so exactly one of two daemons racing for a key writes it. After a lost reply the row is read
    /// back (`put_checked`), and the claim number distinguishes this write from that of another
    /// attempt. Without the number, two retries racing through one daemon write the same value, and
    /// the loser, if its conflict reply is lost, mistakes the winner's record for its own and runs
    /// the call a second time.
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

    /// Records the outcome of a call claimed at `version`. If this fails, the record stays
    /// `Started`: retries get the error that the outcome is unknown and never run again.
    pub async fn finish(&self, record_key: &str, version: RowVersion, record: &IdempotencyRecord) {
        match self.platform.put_checked(IDEMPOTENCY_TABLE, record_key, version, record).await {
            Ok(WriteOutcome::Written(_)) => {}
            Ok(WriteOutcome::Conflict { current_version }) => {
                tracing::error!(
                    record_key,
                    current_version,
                    "idempotency record was changed by another writer while claimed"
                );
            }
            Err(error) => {
                tracing::warn!(record_key, %error, "call outcome not recorded; it stays unknown")
            }
        }
    }

    /// Releases, in the background, a claim that may have been written although the response to the
    /// caller says that nothing ran.
    ///
    /// Prevents a key from being blocked forever: if the platform fails between the write and its
    /// reply, the caller is rejected ("not run"), and its retry would find a claim that no daemon
    /// will ever finish.
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
            tracing::warn!(record_key, "unconfirmed claim not released; its outcome stays unknown");
        });
    }

    /// Marks `record_key` as not run if it still holds the claim `started`.
    async fn release(
        &self,
        record_key: &str,
        started: &IdempotencyRecord,
    ) -> Result<(), WireError> {
        let row = self.platform.get(IDEMPOTENCY_TABLE, record_key).await?;
        // If there is no row yet, the claim may still be written late: a record at version 1 makes
        // its condition fail.
        let version = match row {
            None => 0,
            Some(row) if is_record(&row.value, started) => row.version,
            Some(_) => return Ok(()),
        };
        let not_run = IdempotencyRecord::NotRun { status: 503, body: "not sent".into() };
        self.platform
            .put_checked(IDEMPOTENCY_TABLE, record_key, version, &not_run)
            .await
            .map(|_| ())
    }
}

/// Returns true if `value` is the record `expected`.
fn is_record(value: &serde_json::Value, expected: &IdempotencyRecord) -> bool {
    IdempotencyRecord::deserialize(value).is_ok_and(|record| record == *expected)
}
