//! Connections to backend servers.

mod address_map;
pub mod answer_limits;
mod connection_pool;
mod send_error;
mod sender;
mod server_connection;

pub use self::address_map::AddressMap;
pub use self::connection_pool::ConnectionPool;
pub use self::send_error::SendError;
pub use self::sender::Connect;
pub use self::sender::DirectConnector;
pub use self::sender::SendTarget;
pub use self::sender::connect_directly;
pub use self::sender::connect_tcp;
pub use self::sender::send;
pub use self::sender::send_with;
pub use self::server_connection::ServerConnection;
pub use self::server_connection::ServerPath;

pub(crate) use self::send_error::HandshakeSnafu;
pub(crate) use self::send_error::TunnelSnafu;
