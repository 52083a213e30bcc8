//! Reads the platform's store: the configuration, the servers and the other
//! gateways.

mod config_sink;
mod follow_error;
mod member_sink;
mod quarantine_sink;
mod raw_digest;
mod server_sink;
mod shared_reading;
mod shared_readings;
mod store_client;
mod table_follower;
mod table_sharing;
mod unreadable_row;

pub use self::config_sink::ConfigSink;
pub use self::follow_error::FollowError;
pub use self::member_sink::MemberRow;
pub use self::member_sink::MemberSink;
pub use self::quarantine_sink::QuarantineSink;
pub use self::raw_digest::raw_digest;
pub use self::server_sink::ServerSink;
pub use self::shared_reading::SharedReading;
pub use self::shared_reading::TableNotice;
pub use self::shared_readings::SharedReadings;
pub use self::store_client::StoreClient;
pub use self::table_follower::TableFollower;
pub use self::table_follower::TableSink;
pub use self::table_sharing::TableSharing;
pub use self::unreadable_row::log_unreadable;
