//! Limits the number of entries in a report.

/// Returns `updates`, or a random sample of `max_len` entries if there are more.
///
/// Prevents a report from exceeding the maximum datagram size, in which case it would not be sent.
/// Every report draws a new sample, so omitted entries are reported later.
pub(super) fn sample<T>(mut updates: Vec<T>, max_len: usize) -> Vec<T> {
    if updates.len() > max_len {
        fastrand::shuffle(&mut updates);
        updates.truncate(max_len);
    }
    updates
}
