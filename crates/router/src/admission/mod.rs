//! What bounds the work a daemon takes on: the waiting room, the retry
//! budget and the pace it predicts by.

mod admission_queue;
mod class_queue;
mod prefill_time_estimator;
mod retry_budget;

pub use self::admission_queue::AdmissionQueue;
pub use self::admission_queue::PlacementMode;
pub use self::admission_queue::QueueRejection;
pub use self::prefill_time_estimator::PrefillTimeEstimator;
pub use self::retry_budget::RetryBudget;
