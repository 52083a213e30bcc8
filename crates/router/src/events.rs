//! Numbers of the log events, listed in `docs/events.md`.
//!
//! Every routing or placement decision logs one of them in its `event` field, so that an operator
//! can search for a number and find its meaning.

/// A request was admitted (organisation, class, prompt tokens).
pub const REQUEST_ADMITTED: u32 = 1001;
/// A request was rejected before any work started (reason, retry after).
pub const REQUEST_REJECTED: u32 = 1002;
/// A prefill server was chosen (candidates and scores).
pub const PREFILL_PLACED: u32 = 1003;
/// A decode server was chosen (candidates and scores).
pub const DECODE_PLACED: u32 = 1004;
/// A request finished with a complete response.
pub const REQUEST_COMPLETED: u32 = 1005;
/// The caller disconnected. Cancels were sent to the servers that hold its request.
pub const CALLER_DISCONNECTED: u32 = 1006;
/// A server failed or rejected a step. The request is retried elsewhere or ends.
pub const SERVER_STEP_FAILED: u32 = 1007;
/// A request ended with a rejection after work had started.
pub const REQUEST_FAILED: u32 = 1008;
/// A plain-service call was placed (service, server, idempotency key).
pub const PLAIN_PLACED: u32 = 1009;
/// A retried non-idempotent call got its recorded response again.
pub const PLAIN_REPLAYED: u32 = 1010;
/// An attempt failed and the request is retried on other servers.
pub const ATTEMPT_RETRIED: u32 = 1011;
/// A decode stream broke, and the response continues from another server.
pub const RESPONSE_RESUMED: u32 = 1012;
/// A decode stream is silent: it is kept, and another server is looked for.
pub const STREAM_SILENT: u32 = 1013;
/// A silent stream went on before another server did.
pub const STREAM_WENT_ON: u32 = 1014;
/// Relaying a response panicked: its caller gets the event of a truncated response.
pub const RELAY_PANICKED: u32 = 1015;
/// An admitted completion ended without a complete response (reason).
pub const REQUEST_UNANSWERED: u32 = 1016;
/// A new preset version was applied.
pub const PRESET_APPLIED: u32 = 2001;
/// A preset row older than the active one was read and ignored.
pub const PRESET_STALE_IGNORED: u32 = 2002;
/// The platform could not be read or written. The daemon serves with the state it has.
pub const PLATFORM_UNREACHABLE: u32 = 2003;
/// The set of backend servers changed (joined, leaving, drained).
pub const SERVERS_CHANGED: u32 = 2004;
/// A preset row failed validation and was not applied.
pub const PRESET_REJECTED: u32 = 2005;
/// The daemon started serving.
pub const DAEMON_STARTED: u32 = 3001;
/// The daemon began a graceful shutdown.
pub const DAEMON_DRAINING: u32 = 3002;
/// The daemon's own membership lease became live or expired.
pub const MEMBER_LEASE_CHANGED: u32 = 3003;
/// The set of daemons with a live lease changed.
pub const MEMBERS_CHANGED: u32 = 3004;
/// An engine rejected this daemon's fencing token as stale: a newer preset is active.
pub const DAEMON_FENCE_STALE: u32 = 3005;
/// This daemon acquired or lost the leadership.
pub const LEADER_CHANGED: u32 = 4001;
/// The leader sent an order to a server.
pub const ORDER_SENT: u32 = 4002;
/// An order was not sent because the leader lease was too old to be relied on.
pub const ORDER_WITHHELD: u32 = 4003;
/// Idempotency records past their retention were removed.
pub const RECORDS_REMOVED: u32 = 4004;
