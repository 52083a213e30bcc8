//! The gateway's model of routes, servers, callers and responses. An adapter fills these types;
//! nothing here depends on the formats of a platform.

mod attempt_spec;
mod caller_identity;
mod caller_key;
mod config_delta;
mod config_id;
mod config_snapshot;
mod crash_suspects;
mod engine_spec;
mod flow_control;
mod gateway_settings;
mod host_routes;
mod key_digest;
mod organisation;
mod organisation_registry;
mod packed_routes;
mod pinned_version;
mod quota_limit;
mod request_fingerprint;
mod request_head;
mod request_rate;
mod response_head;
mod route;
mod route_table;
mod server_entry;
mod stage_order;
mod store_row;
mod store_stamp;

pub use self::attempt_spec::AttemptPurpose;
pub use self::attempt_spec::AttemptSpec;
pub use self::attempt_spec::CacheSource;
pub use self::caller_identity::CallerIdentity;
pub use self::caller_key::CallerKey;
pub use self::config_delta::ConfigDelta;
pub use self::config_delta::DeltaError;
pub use self::config_id::ConfigId;
pub use self::config_snapshot::encode_snapshot;
pub use self::crash_suspects::CrashSuspects;
pub use self::crash_suspects::PromptParts;
pub use self::crash_suspects::is_prompt_part;
pub use self::crash_suspects::prompt_part;
pub use self::engine_spec::EngineSpec;
pub use self::flow_control::FlowControl;
pub use self::flow_control::StatedLimit;
pub use self::gateway_settings::GatewaySettings;
pub use self::host_routes::HostRoutes;
pub use self::key_digest::KeyDigest;
pub use self::organisation::Organisation;
pub use self::organisation_registry::CallerLookup;
pub use self::organisation_registry::OrganisationEntry;
pub use self::organisation_registry::OrganisationRegistry;
pub use self::pinned_version::PinnedVersion;
pub use self::quota_limit::QuotaLimit;
pub use self::quota_limit::QuotaUnit;
pub use self::request_fingerprint::FingerprintParts;
pub use self::request_head::PromptShape;
pub use self::request_head::RequestHead;
pub use self::request_rate::RequestRate;
pub use self::response_head::PrefillResult;
pub use self::response_head::ReportedLoad;
pub use self::response_head::ResponseHead;
pub use self::route::CallKind;
pub use self::route::Route;
pub use self::route::RouteShare;
pub use self::route::SharedRoute;
pub use self::route_table::CallerLimits;
pub use self::route_table::RouteTable;
pub use self::route_table::ServiceSpec;
pub use self::server_entry::ServerEntry;
pub use self::server_entry::ServerStage;
pub use self::server_entry::server_incarnation;
pub use self::server_entry::software_digest;
pub use self::stage_order::EngineReport;
pub use self::stage_order::StageOrder;
pub use self::store_row::RowBatch;
pub use self::store_row::RowValue;
pub use self::store_row::StoreRow;
pub use self::store_row::StoreTable;
pub use self::store_stamp::FencingToken;
pub use self::store_stamp::StoreEra;
pub use self::store_stamp::StoreStamp;
pub use self::store_stamp::StoreVersion;
pub use self::store_stamp::version_only;

use std::sync::Arc;

/// A backend server's id. Reference-counted, since every request and log line names one.
pub type ServerKey = Arc<str>;
/// A digest of a server's id and start time. State known about one incarnation of a server does not
/// apply to the next.
pub type ServerIncarnation = u64;
/// A digest of a request's content and its caller. It is the same when the request is sent again
/// under another id.
pub type RequestFingerprint = u64;
/// The host of a route. The routes of one host share it.
pub type HostName = Arc<str>;
/// The path prefix of a route.
pub type RoutePrefix = Arc<str>;
/// A service's name, as in the configuration.
pub type ServiceName = Arc<str>;
/// An organisation's name, as in the configuration.
pub type OrganisationName = Arc<str>;
/// A failure domain's name.
pub type DomainKey = Arc<str>;
/// The version of a server's software, as registered. Versions have no order.
pub type SoftwareVersion = Arc<str>;
/// Digest of a [`SoftwareVersion`], by which gateways refer to it.
pub type SoftwareDigest = u64;
/// The version of the configuration in force.
pub type ConfigVersion = u64;
