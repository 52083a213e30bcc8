//! Tunnels: connections to servers that go through another gateway.
//!
//! A gateway whose own path to a server is broken connects to a peer that reaches the server, and
//! sends a [`TunnelRequest`]. The peer connects to the server, sends a [`TunnelReply`] and from then
//! on forwards bytes in both directions, like an HTTP proxy after `CONNECT`. It decides nothing: all
//! limits, counts and retries remain with the gateway that has the request. A tunnel carries one
//! request and leads from the peer to the server directly, never through a third gateway.

mod messages;
mod open;
mod serve;
mod stream;

pub use self::messages::ConnectSign;
pub use self::messages::MAGIC;
pub use self::messages::TunnelReply;
pub use self::messages::TunnelRequest;
pub use self::messages::decode_answer;
pub use self::open::TunnelError;
pub use self::open::open_tunnel;
pub use self::serve::TunnelSlots;
pub use self::serve::serve_tunnel;
pub use self::stream::TunnelStream;
