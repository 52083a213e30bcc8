//! Work that one gateway, the leader, does for all gateways: it orders engines to change their
//! stage.
//!
//! A row of the store decides which gateway is the leader. It is claimed with a lease before each
//! set of orders; no lease is held while there is nothing to do.

mod leader_row;
mod order;
mod stage_controller;

pub use self::leader_row::LEASE_DURATION;
pub use self::leader_row::LeaderRow;
pub use self::leader_row::is_claimable;
pub use self::order::fetch_report;
pub use self::order::fetch_start;
pub use self::order::is_same_incarnation;
pub use self::stage_controller::run_stage_controller;
