//! Membership between daemons: each renews its own row in the platform's
//! `members` table and now and then reads the others'.
//!
//! There is no failure detector between daemons and no message from one to
//! another. A row's age is judged by the table service's own steady clock,
//! so no two machines' clocks are ever compared.

mod heartbeat;
mod view;

pub use self::heartbeat::Heartbeat;
pub use self::view::MemberView;

/// A lease lasts this many beats: two may be lost.
pub const LEASE_HEARTBEATS: u32 = 3;
