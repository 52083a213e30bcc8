//! Clients of the platform for the daemon and `umberctl`: rows, objects and the two change feeds.

mod client;
mod feed;

pub use self::client::PlatformClient;
pub use self::client::WriteOutcome;
pub use self::feed::InstanceFeed;
pub use self::feed::TableFeed;
