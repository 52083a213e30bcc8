//! Limits the work a daemon accepts: the admission queue, the retry budget and the estimate of
//! prefill times that predictions use.

mod admission_queue;
mod class_queue;
mod prefill_time_estimator;
mod retry_budget;

pub use self::admission_queue::AdmissionQueue;
pub use self::admission_queue::PlacementMode;
pub use self::admission_queue::QueueRejection;
pub use self::prefill_time_estimator::PrefillTimeEstimator;
pub use self::retry_budget::RetryBudget;
