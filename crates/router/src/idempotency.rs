//! The idempotency ledger: records in the platform's table that make a
//! non-idempotent call (a booking, an invoice-bearing action) run at most
//! once, whatever retries, races and lost replies come.
//!
//! A daemon claims a key with a conditional write before it sends the
//! call, and records the outcome after. A retry of a finished call gets
//! the recorded answer; a retry while the outcome is unknown is told so.

use umberglade_wire::WireError;
use umberglade_wire::ids::RowVersion;
use umberglade_wire::plain::IDEMPOTENCY_TABLE;
use umberglade_wire::plain::IdempotencyRecord;

use crate::platform::PlatformClient;
use crate::platform::WriteOutcome;

/// Claims before giving up on a key that keeps changing under us.
const CLAIM_ATTEMPTS: usize = 3;

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
    pub platform: PlatformClient,
    /// Who claims, written into the record.
    pub daemon: String,
}

impl IdempotencyLedger {
    /// The record's key for `key` of `organisation`: keys of different
    /// organisations never meet.
    pub fn record_key(organisation: &str, key: &str) -> String {
        format!("{organisation}/{key}")
    }

    /// Claims `record_key`, or says why not.
    ///
    /// Guards against running twice: the claim is a conditional write on
    /// the version read, so of two daemons racing for one key exactly one
    /// writes; a lost reply is read back (`put_checked`) before it is
    /// judged, so a claim that took effect is never claimed again.
    pub async fn claim(&self, record_key: &str) -> Result<Claim, WireError> {
        let started = IdempotencyRecord::Started { daemon: self.daemon.clone() };
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
            match self
                .platform
                .put_checked(IDEMPOTENCY_TABLE, record_key, expect_version, &started)
                .await?
            {
                WriteOutcome::Written(row) => return Ok(Claim::Claimed { version: row.version }),
                WriteOutcome::Conflict { .. } => continue,
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
}
