//! The platform as the daemon and `umberctl` use it: rows, objects, and
//! the two feeds of what changed.

mod client;
mod feed;

pub use self::client::PlatformClient;
pub use self::client::WriteOutcome;
pub use self::feed::InstanceFeed;
pub use self::feed::TableFeed;
