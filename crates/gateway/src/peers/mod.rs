//! Load reports between gateways, over UDP.
//!
//! Each gateway tells the others how much of its own work is at each
//! server, so that a server's whole load is known within a tenth of a
//! second, or about as soon as the network carries it. Reports carry
//! absolute counts: a lost one is made good by the next.
//!
//! The few gateways that read the store's tables tell the others of rows that
//! say something new; a report names what its sender holds, so that who lacks
//! a row sees it and reads for itself.

mod config_transfer;
mod peer_registry;
mod remote_peer_cycle;
mod report;
mod report_loop;
mod row_sender;
mod send_budget;

pub use self::config_transfer::fetch_newer_configs;
pub use self::config_transfer::serve_config;
pub use self::peer_registry::PeerGroups;
pub use self::peer_registry::PeerRegistry;
pub use self::remote_peer_cycle::RemotePeerCycle;
pub use self::report::LoadReport;
pub use self::report::PeerMessage;
pub use self::report::TableRows;
pub use self::report_loop::receive_reports;
pub use self::report_loop::remote_report;
pub use self::report_loop::send_reports;
pub use self::row_sender::send_rows;
pub use self::send_budget::SendBudget;
