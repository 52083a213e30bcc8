//! How long a gateway waits before it lists a table of the store again.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::store::RELIST_POLL_INTERVAL;
use umberglade_gateway::store::RelistWait;
use umberglade_gateway::store::retry_delay;

/// Time that is left for the listing itself: a call to the store takes some milliseconds, and is
/// late after 0.3 s.
const LISTING_TIME: Duration = Duration::from_millis(300);

struct WaitCase {
    name: &'static str,
    /// Number of failed calls in a row.
    failures: u32,
    rank_fraction: Option<f64>,
}

/// Prevents a gateway whose call fails just before the store is back, and which peers tell nothing,
/// from listing the servers later than changes must be known.
#[test]
fn a_table_is_listed_within_its_bound_after_an_outage() {
    let cases = [
        WaitCase { name: "a reader", failures: 5, rank_fraction: None },
        WaitCase { name: "the first of its peers", failures: 5, rank_fraction: Some(0.0) },
        WaitCase { name: "the last of its peers", failures: 5, rank_fraction: Some(1.0) },
        WaitCase { name: "after two failures", failures: 2, rank_fraction: Some(1.0) },
    ];
    let failed_at = Instant::now();
    for bound in [2, 3].map(Duration::from_secs) {
        for WaitCase { name, failures, rank_fraction } in &cases {
            let (rank_fraction, failed) = (*rank_fraction, Some(failed_at));
            let relist_wait = RelistWait { bound, rank_fraction, failed_at: failed };
            let longest_draw = 1.0;
            let retried_at = failed_at + retry_delay(*failures, longest_draw);
            let waited_until = relist_wait.ends_at(longest_draw, retried_at).max(retried_at);
            let longest = waited_until + RELIST_POLL_INTERVAL - failed_at;
            assert!(longest + LISTING_TIME <= bound, "{name}, bound {bound:?}: {longest:?}");
        }
    }
}
