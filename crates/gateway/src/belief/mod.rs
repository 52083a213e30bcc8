//! What the gateway believes, and what it decides from that. Nothing here
//! does I/O or reads a clock: the time is passed in, so every decision can
//! be tested as a table.

mod config_watch;
mod departure_pace;
mod fleet;
mod in_force;
mod output_guess;
mod peer_loads;
mod placement;
mod report_pace;
mod retry_allowance;
mod server_belief;
mod server_health;
mod stage_watch;
mod usual_patience;
mod waiting_line;

pub use self::config_watch::ConfigWatch;
pub use self::departure_pace::DeparturePace;
pub use self::fleet::Fleet;
pub use self::fleet::FleetChange;
pub use self::in_force::InForce;
pub use self::in_force::InForceChange;
pub use self::output_guess::OutputGuess;
pub use self::peer_loads::LoadShare;
pub use self::peer_loads::PeerLoads;
pub use self::peer_loads::PeerNews;
pub use self::peer_loads::server_digest;
pub use self::placement::EnginePlace;
pub use self::placement::PlaceNeed;
pub use self::placement::PlaceRefusal;
pub use self::placement::PlainPlace;
pub use self::placement::place_decode;
pub use self::placement::place_engine;
pub use self::placement::place_plain;
pub use self::placement::place_prefill;
pub use self::report_pace::report_pace;
pub use self::retry_allowance::HeardRetries;
pub use self::retry_allowance::RetryAllowance;
pub use self::retry_allowance::RetryCount;
pub use self::retry_allowance::RetryUse;
pub use self::server_belief::ServerBelief;
pub use self::server_health::ServerHealth;
pub use self::server_health::ServerOutcome;
pub use self::stage_watch::StageChange;
pub use self::stage_watch::StageLook;
pub use self::stage_watch::StageWatch;
pub use self::stage_watch::stage_choice;
pub use self::stage_watch::stage_look;
pub use self::usual_patience::UsualPatience;
pub use self::waiting_line::LineAsker;
pub use self::waiting_line::LineNews;
pub use self::waiting_line::LineRefusal;
pub use self::waiting_line::OtherLines;
pub use self::waiting_line::Ticket;
pub use self::waiting_line::WaitingLine;
