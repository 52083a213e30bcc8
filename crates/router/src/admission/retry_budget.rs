//! The retry budget: retries stay a fixed share of the requests.

use std::sync::Mutex;

/// Retries earned by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// Retries that can be saved up, and what a daemon starts with.
const MAX_BALANCE: f64 = 20.0;

/// A token bucket filled by first attempts and drained by retries.
///
/// Guards against a retry storm: when servers fail, each daemon's retries
/// stay within a fifth of its own requests, so the servers left see at
/// most 1.2 times the load, whatever fails.
#[derive(Debug)]
pub struct RetryBudget {
    /// Invariant: from 0 to [`LARGEST_BALANCE`].
    balance: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { balance: Mutex::new(MAX_BALANCE) }
    }
}

impl RetryBudget {
    /// Counts a first attempt.
    pub fn deposit(&self) {
        let mut balance = self.balance.lock().expect("budget lock");
        *balance = (*balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// True when one retry may be made; it is then spent.
    pub fn try_consume(&self) -> bool {
        let mut balance = self.balance.lock().expect("budget lock");
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
