//! Numbers of the log events, catalogued in `docs/events.md`.
//!
//! Every routing or placement decision logs one of these as its `event`
//! field, so an operator can grep a number and find its meaning.

/// A request was admitted (organisation, class, prompt tokens).
pub const REQUEST_ADMITTED: u32 = 1001;
/// A request was refused before any work started (reason, retry after).
pub const REQUEST_REJECTED: u32 = 1002;
/// A prefill server was chosen (candidates and scores).
pub const PREFILL_PLACED: u32 = 1003;
/// A decode server was chosen (candidates and scores).
pub const DECODE_PLACED: u32 = 1004;
/// A request finished with a whole answer.
pub const REQUEST_COMPLETED: u32 = 1005;
/// The caller went away; cancels were sent to the servers holding it.
pub const CALLER_DISCONNECTED: u32 = 1006;
/// A server failed or refused a step; the request moves on or ends.
pub const SERVER_STEP_FAILED: u32 = 1007;
/// A request ended with a refusal after work had started.
pub const REQUEST_FAILED: u32 = 1008;
/// A plain-service call was placed (service, server, idempotency key).
pub const PLAIN_PLACED: u32 = 1009;
/// A retried non-idempotent call got its recorded answer again.
pub const PLAIN_REPLAYED: u32 = 1010;
/// An attempt failed and the request is tried on other servers.
pub const ATTEMPT_RETRIED: u32 = 1011;
/// A decode stream broke midway; the answer goes on from another server.
pub const RESPONSE_RESUMED: u32 = 1012;
/// A new preset version was taken into force.
pub const PRESET_APPLIED: u32 = 2001;
/// A preset row older than the one in force was seen and ignored.
pub const PRESET_STALE_IGNORED: u32 = 2002;
/// The platform could not be read; the daemon serves on what it has.
pub const PLATFORM_UNREACHABLE: u32 = 2003;
/// The set of backend servers changed (joined, leaving, drained).
pub const SERVERS_CHANGED: u32 = 2004;
/// A preset row failed validation and was not applied.
pub const PRESET_REJECTED: u32 = 2005;
/// The daemon started serving.
pub const DAEMON_STARTED: u32 = 3001;
/// The daemon began a graceful shutdown.
pub const DAEMON_DRAINING: u32 = 3002;
/// The daemon's own lease in the members table lapsed or was renewed after.
pub const MEMBER_LEASE_CHANGED: u32 = 3003;
/// The set of daemons with a live lease changed.
pub const MEMBERS_CHANGED: u32 = 3004;
/// An engine refused this daemon's fence as old: a newer preset is in force.
pub const DAEMON_FENCE_STALE: u32 = 3005;
/// This daemon took or lost the duty of sending role orders.
pub const LEADER_CHANGED: u32 = 4001;
/// The holder of the duty sent a server an order.
pub const ORDER_SENT: u32 = 4002;
/// An order was not sent: the lease was too old to be sure of the duty.
pub const ORDER_WITHHELD: u32 = 4003;
/// Idempotency records past their retention were removed.
pub const RECORDS_REMOVED: u32 = 4004;
