//! Limits the number of entries in a report.

/// Returns `news`, or a random sample of `max_len` entries if there are more.
///
/// Guards against a report that exceeds the maximum datagram size and is therefore not
/// sent. Every report draws a new sample, so omitted entries are reported later.
pub(super) fn sample<T>(mut updates: Vec<T>, max_len: usize) -> Vec<T> {
    if updates.len() > max_len {
        fastrand::shuffle(&mut updates);
        updates.truncate(max_len);
    }
    updates
}
