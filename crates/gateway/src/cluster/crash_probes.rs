//! What the crashes of probes show.

use std::time::Instant;

use super::crash_record::CrashRecord;
use super::crash_records::CrashRecords;
use crate::model::RequestFingerprint;
use crate::model::is_prompt_part;

impl CrashRecords {
    /// Returns true if the server of the last probe of `fingerprint` crashed under another suspect
    /// too, so that the probe says nothing.
    ///
    /// Prevents the rejection of a popular request whose probes ran beside a poison request that
    /// is not quarantined yet: its callers wait for another probe.
    pub fn is_probe_inconclusive(&self, fingerprint: RequestFingerprint, now: Instant) -> bool {
        let crash = self.get(fingerprint).and_then(CrashRecord::last_probe_crash);
        let Some(crash) = crash else { return false };
        let is_other_content =
            |other: RequestFingerprint| other != fingerprint && !is_prompt_part(other);
        self.iter()
            .any(|(other, record)| is_other_content(other) && record.may_have_caused(crash, now))
    }
}
