//! What one gateway does for all: it tells engines to change their stage.
//!
//! Who may is settled by a row of the store, claimed for a while before each
//! set of orders. Nothing is held while there is nothing to do.

mod leader_row;
mod order;
mod stage_controller;

pub use self::leader_row::LEASE_DURATION;
pub use self::leader_row::LeaderRow;
pub use self::leader_row::is_claimable;
pub use self::stage_controller::run_stage_controller;
