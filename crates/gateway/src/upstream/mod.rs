//! Connections to backend servers.

mod connection_pool;
mod send_error;
mod sender;

pub use self::connection_pool::ConnectionPool;
pub use self::connection_pool::PooledConnection;
pub use self::send_error::SendError;
pub use self::sender::SendTarget;
pub use self::sender::send;
