//! The retry budget: limits retries to a fixed fraction of the requests.

use std::sync::Mutex;

use crate::state_lock;

/// Retries added to the budget by each first attempt.
const RETRIES_PER_REQUEST: f64 = 0.2;
/// The capacity of the budget and its balance at start.
const MAX_BALANCE: f64 = 20.0;

/// A token bucket filled by first attempts and drained by retries.
///
/// Prevents a retry storm: each daemon's retries stay within a fifth of its own requests, so the
/// remaining servers see at most 1.2 times the load, whatever fails.
#[derive(Debug)]
pub struct RetryBudget {
    /// Invariant: from 0 to [`MAX_BALANCE`].
    balance: Mutex<f64>,
}

impl Default for RetryBudget {
    fn default() -> Self {
        RetryBudget { balance: Mutex::new(MAX_BALANCE) }
    }
}

impl RetryBudget {
    /// Adds the retries that a first attempt allows.
    pub fn deposit(&self) {
        let mut balance = state_lock::lock(&self.balance);
        *balance = (*balance + RETRIES_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Returns a consumed retry for which nothing was sent.
    pub fn give_back(&self) {
        let mut balance = state_lock::lock(&self.balance);
        *balance = (*balance + 1.0).min(MAX_BALANCE);
    }

    /// Consumes one retry; returns false when none is left.
    pub fn try_consume(&self) -> bool {
        let mut balance = state_lock::lock(&self.balance);
        if *balance < 1.0 {
            return false;
        }
        *balance -= 1.0;
        true
    }
}
