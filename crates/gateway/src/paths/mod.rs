//! Paths from this gateway to servers: direct ones, and tunnels through other gateways where a
//! direct one is broken.

mod life_check;
mod life_checks;
mod path_check;
mod path_connector;
mod path_recheck;
mod staggered_race;

pub use self::life_check::ProcessLife;
pub use self::life_check::find_life;
pub use self::life_check::life_label;
pub use self::life_checks::LifeChecks;
pub use self::life_checks::LifeStep;
pub use self::path_check::locate_failure;
pub use self::path_check::request_check;
pub use self::path_check::watch_silence;
pub use self::path_connector::NO_PATIENCE;
pub use self::path_connector::PathConnector;
pub use self::path_connector::Patience;
pub use self::path_connector::most_telling;
pub use self::path_recheck::recheck_broken_paths;
pub use self::staggered_race::race_staggered;
