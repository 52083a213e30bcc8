//! What the gateway knows of routes, servers, callers and answers, in the
//! project's own terms. An adapter fills these types; nothing here depends
//! on how a platform spells them.

mod call_head;
mod caller_key;
mod caller_mark;
mod config_copy;
mod engine_spec;
mod flow_control;
mod gateway_settings;
mod key_digest;
mod onward_order;
mod organisation;
mod organisation_registry;
mod quota_limit;
mod reply_head;
mod request_fingerprint;
mod request_rate;
mod route_table;
mod server_entry;
mod stage_order;
mod store_row;

pub use self::call_head::CallHead;
pub use self::call_head::PromptShape;
pub use self::caller_key::CallerKey;
pub use self::caller_mark::CallerMark;
pub use self::config_copy::ConfigCopy;
pub use self::engine_spec::EngineSpec;
pub use self::flow_control::FlowControl;
pub use self::flow_control::StatedLimit;
pub use self::gateway_settings::GatewaySettings;
pub use self::key_digest::KeyDigest;
pub use self::onward_order::CacheSource;
pub use self::onward_order::OnwardOrder;
pub use self::onward_order::SendPurpose;
pub use self::organisation::Organisation;
pub use self::organisation_registry::CallerVerdict;
pub use self::organisation_registry::OrganisationRegistry;
pub use self::quota_limit::QuotaLimit;
pub use self::quota_limit::QuotaUnit;
pub use self::reply_head::PrefillResult;
pub use self::reply_head::ReplyHead;
pub use self::reply_head::ReportedLoad;
pub use self::request_fingerprint::ContentParts;
pub use self::request_rate::RequestRate;
pub use self::route_table::CallKind;
pub use self::route_table::CallerLimits;
pub use self::route_table::Route;
pub use self::route_table::RouteShare;
pub use self::route_table::RouteTable;
pub use self::route_table::ServiceSpec;
pub use self::server_entry::ServerEntry;
pub use self::server_entry::ServerStage;
pub use self::server_entry::server_incarnation;
pub use self::stage_order::EngineReport;
pub use self::stage_order::StageOrder;
pub use self::store_row::RowBatch;
pub use self::store_row::RowValue;
pub use self::store_row::StoreRow;
pub use self::store_row::StoreTable;

use std::sync::Arc;

/// A backend server's id. Shared, since every request and log line names one.
pub type ServerKey = Arc<str>;
/// A digest of a server's id and of when it started: what is known of one
/// start of a server says nothing of the next.
pub type ServerIncarnation = u64;
/// A digest of what a request asks and of who asks it: the same when the request
/// comes again under another id.
pub type RequestFingerprint = u64;
/// A service's name, as in the configuration.
pub type ServiceName = Arc<str>;
/// An organisation's name, as in the configuration.
pub type OrganisationName = Arc<str>;
/// A failure domain's name.
pub type DomainKey = Arc<str>;
/// The version of the configuration in force.
pub type ConfigVersion = u64;
/// A row's version in the store's table service: only grows.
pub type StoreVersion = u64;
