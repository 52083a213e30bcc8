//! Which software version began each stream: recorded where it begins, told to a few other gateways,
//! written to the store while a service has several versions, and looked up by the gateway at which
//! a caller takes the stream up.

mod announcement;
mod journal;
mod journal_row;
mod lookup;
mod origin_state;
mod record;
mod restart_check;
mod software_rows;

pub use self::announcement::run_announcements;
pub use self::journal::run_journal;
pub use self::lookup::find_version;
pub use self::origin_state::OriginState;
pub use self::record::is_contradictory;
pub use self::record::record_origin;
pub use self::restart_check::SentVersion;
pub use self::restart_check::run_restart_checks;
