//! Reads the platform's store: the configuration, the servers and the other
//! gateways.

mod config_sink;
mod follow_error;
mod member_sink;
mod server_sink;
mod store_client;
mod table_follower;
mod unreadable_row;

pub use self::config_sink::ConfigSink;
pub use self::follow_error::FollowError;
pub use self::member_sink::MemberRow;
pub use self::member_sink::MemberSink;
pub use self::server_sink::ServerSink;
pub use self::store_client::StoreClient;
pub use self::table_follower::TableFollower;
pub use self::table_follower::TableSink;
pub use self::unreadable_row::log_unreadable;
