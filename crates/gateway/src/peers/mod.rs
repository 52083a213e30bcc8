//! Load reports between gateways, over UDP.
//!
//! Each gateway reports its own load at each server to its peers, so that a server's total load is
//! known within a tenth of a second, or about as soon as the network carries it. Reports carry
//! absolute counts, so the next report makes up for a lost one.
//!
//! The few gateways that read the store's tables send their peers the rows whose content has
//! changed. Reports pass on notices of those reads with fingerprints of the tables, by which a
//! gateway that lacks rows notices it and fetches them from a peer.

mod config_fetcher;
mod config_messages;
mod config_server;
mod member_fetcher;
mod origin_messages;
mod origin_teller;
mod peer_registry;
mod remote_peer_cycle;
mod report;
mod report_content;
mod report_receiver;
mod report_sender;
mod row_sender;
mod send_budget;
mod table_fetcher;
mod table_server;
mod transfer_messages;
mod transfer_server;
mod usage_fetcher;
mod usage_messages;

pub use self::config_fetcher::fetch_newer_configs;
pub use self::member_fetcher::fetch_members;
pub use self::origin_messages::ask_origin;
pub use self::origin_teller::OriginTeller;
pub use self::peer_registry::MAX_JOINED_NEAR;
pub use self::peer_registry::MemberRecord;
pub use self::peer_registry::MemberSummary;
pub use self::peer_registry::PeerGroups;
pub use self::peer_registry::PeerRegistry;
pub use self::remote_peer_cycle::RemotePeerCycle;
pub use self::report::Datagram;
pub use self::report::LoadReport;
pub use self::report::PeerMessage;
pub use self::report::RelayPart;
pub use self::report::ReportTail;
pub use self::report::TableRows;
pub use self::report::UsagePart;
pub use self::report_content::remote_report;
pub use self::report_receiver::receive_reports;
pub use self::report_sender::send_reports;
pub use self::row_sender::send_rows;
pub use self::send_budget::SendBudget;
pub use self::table_fetcher::fetch_tables;
pub use self::transfer_server::serve_transfers;
pub use self::usage_fetcher::UsageSource;
pub use self::usage_fetcher::fetch_usage;
pub use self::usage_messages::UsageSnapshot;
