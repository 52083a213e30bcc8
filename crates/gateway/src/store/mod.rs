//! Reads the platform's store: the configuration, the servers, the quarantined requests and the
//! registered gateways.

mod config_sink;
mod member_sink;
mod overlapping_reads;
mod quarantine_sink;
mod raw_digest;
mod read_progress;
mod row_size;
mod server_sink;
mod shared_table;
mod shared_tables;
mod store_client;
mod store_eras;
mod store_error;
mod table_coordinator;
mod table_follower;
mod table_image;
mod table_reader;
mod table_sink;
mod unreadable_row;

pub use self::config_sink::ConfigSink;
pub use self::member_sink::MemberRow;
pub use self::member_sink::MemberSink;
pub use self::quarantine_sink::QuarantineSink;
pub use self::raw_digest::raw_digest;
pub use self::server_sink::ServerSink;
pub use self::shared_table::EncodedImage;
pub use self::shared_table::ReadNoticeDetail;
pub use self::shared_table::SharedTable;
pub use self::shared_table::TableReadNotice;
pub use self::shared_tables::SharedTables;
pub use self::store_client::StoreClient;
pub use self::store_eras::StoreEras;
pub use self::store_error::StoreError;
pub use self::table_coordinator::TableCoordinator;
pub use self::table_follower::TableFollower;
pub use self::table_image::TableImage;
pub use self::table_image::decode_rows;
pub use self::table_image::encode_rows;
pub use self::table_reader::TableReader;
pub use self::table_sink::TableSink;
pub use self::table_sink::TransferableRow;
pub use self::unreadable_row::log_unreadable;
