//! Numbers of the gateway's log events, catalogued in `docs/events.md`.

/// A request was refused without being sent to any server.
pub const CALL_REJECTED: u32 = 5002;
/// A server was chosen for a plain call.
pub const PLAIN_PLACED: u32 = 5003;
/// Servers were chosen for a stream.
pub const ENGINE_PLACED: u32 = 5004;
/// A send to a server ended without a usable answer.
pub const ATTEMPT_FAILED: u32 = 5005;
/// A prefill server has read the prompt.
pub const PREFILL_DONE: u32 = 5006;
/// A stream goes on at another server.
pub const STREAM_RESUMED: u32 = 5007;
/// A request has its final answer.
pub const CALL_DONE: u32 = 5008;
/// A stream was broken off towards its caller.
pub const STREAM_BROKEN: u32 = 5009;
/// The caller left before its answer was complete.
pub const CALLER_DISCONNECTED: u32 = 5010;
/// A slow idempotent call was sent to a second server too.
pub const CALL_HEDGED: u32 = 5011;
/// A repeated send was not allowed: the allowance is spent.
pub const RETRY_DENIED: u32 = 5012;
/// A KV cache that no decode server took was let go.
pub const CACHE_RELEASED: u32 = 5013;
/// What decided that a request for a stream finds no room.
pub const NO_CAPACITY: u32 = 5014;
/// A send broke: its server may have crashed under the request.
pub const CRASH_SUSPECTED: u32 = 5015;
/// A request is held back since servers crash under such requests, or is let
/// through to find out.
pub const CALL_QUARANTINED: u32 = 5016;
/// A request's key is no organisation's, as far as is known.
pub const KEY_UNKNOWN: u32 = 5017;
/// A request is refused since its organisation's quota is spent.
pub const QUOTA_EXHAUSTED: u32 = 5018;
/// A configuration is in force.
pub const CONFIG_APPLIED: u32 = 6001;
/// A configuration could not be read, or is older than the one in force.
pub const CONFIG_IGNORED: u32 = 6002;
/// A server joined, is leaving, or is gone.
pub const SERVER_CHANGED: u32 = 6003;
/// A row of the store holds what the gateway can't read.
pub const ROW_UNREADABLE: u32 = 6004;
/// A table of the store can be read again.
pub const STORE_AVAILABLE: u32 = 6005;
/// A table of the store can't be read; what is known stays in force.
pub const STORE_UNAVAILABLE: u32 = 6006;
/// Another gateway was heard for the first time, or again.
pub const PEER_AVAILABLE: u32 = 6007;
/// Another gateway has fallen silent.
pub const PEER_UNAVAILABLE: u32 = 6008;
/// A server is passed over after failures.
pub const SERVER_EJECTED: u32 = 6009;
/// Another gateway has a newer configuration in force than this one.
pub const NEWER_CONFIG_REPORTED: u32 = 6010;
/// Engines should change their stage, and whether this gateway may say so.
pub const LEADERSHIP_CLAIMED: u32 = 6011;
/// An engine was told to change its stage.
pub const ENGINE_ORDERED: u32 = 6012;
/// A datagram came that is no report of a gateway.
pub const REPORT_UNREADABLE: u32 = 6013;
/// This gateway begins to read a table of the store, or is told by others from
/// now on what it holds.
pub const READ_ROLE_CHANGED: u32 = 6014;
/// Requests of a content are held back from now on, or no longer.
pub const QUARANTINE_CHANGED: u32 = 6015;
/// The row of a content held back was written or removed.
pub const QUARANTINE_ROW_CHANGED: u32 = 6016;
/// An organisation's quota is new or has changed.
pub const QUOTA_CHANGED: u32 = 6017;
/// A key of an organisation was added or is gone.
pub const KEY_CHANGED: u32 = 6018;
/// A newer configuration was taken from another gateway, or could not be.
pub const CONFIG_TRANSFERRED: u32 = 6019;
/// The rate limit that a server states was set, changed or lifted.
pub const SERVER_LIMIT_CHANGED: u32 = 6020;
/// A server stated in an answer that it is leaving.
pub const SERVER_DEPARTURE: u32 = 6021;
/// A server rejected a request with a 503 and a `Retry-After`.
pub const SERVER_BACKOFF: u32 = 6022;
/// The process serves.
pub const GATEWAY_STARTED: u32 = 7001;
/// A graceful stop begins.
pub const SHUTDOWN_STARTED: u32 = 7002;
/// The process ends.
pub const GATEWAY_STOPPED: u32 = 7003;
/// The settings file was read again.
pub const SETTINGS_RELOADED: u32 = 7004;
/// The settings file could not be read; the old settings stay.
pub const SETTINGS_REJECTED: u32 = 7005;
/// Log lines were dropped: more came than may be written a second.
pub const LOG_LINES_DROPPED: u32 = 7006;
/// The address for metrics can't be had; they are read at the ready address.
pub const METRICS_BIND_FAILED: u32 = 7008;
/// Other gateways can't take the configuration from this one.
pub const CONFIG_TRANSFER_BIND_FAILED: u32 = 7009;
/// A caller's connection could not be accepted.
pub const ACCEPT_FAILED: u32 = 7007;
