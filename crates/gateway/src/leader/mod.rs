//! What one gateway does for all: it tells engines to change their stage.
//!
//! Who may is settled by a row of the store, claimed for a while before each
//! set of orders. Nothing is held while there is nothing to do.

mod claim;
mod keeper;
mod order;

pub use self::claim::LEASE_TIME;
pub use self::claim::LeaderRow;
pub use self::claim::may_claim;
pub use self::keeper::run_stage_controller;
