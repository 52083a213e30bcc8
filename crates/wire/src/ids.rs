//! Type aliases for the identifiers in messages between processes.

/// The id of a request: `"{daemon}-{incarnation}-{sequence}"`, unique among all requests.
pub type RequestId = String;
/// The name of an organisation, as in the organisations table (for example `"neulanjalki"`).
pub type OrganisationId = String;
/// The id of a backend server, as in the instance list (for example `"brief-p1"`).
pub type ServerId = String;
/// The name of a model, as callers send it (for example `"brief-model"`).
pub type ModelName = String;
/// The id of a daemon instance, from its settings (for example `"entry-1"`).
pub type DaemonId = String;
/// The name of a failure domain (for example `"hall-a"`).
pub type DomainName = String;
/// The name of a region (for example `"tampere"`); empty at a site with a single region.
pub type RegionName = String;
/// The handle of a KV cache that a prefill server has exported.
pub type KvHandle = u64;
/// A fencing token: a row version that only grows, so a receiver can reject orders with an older
/// one. In prefill and decode orders the version of the preset that the order was made under, in
/// engine orders the version of the leader lease's row.
pub type Fence = u64;
/// The version of a row in the platform's table service; starts at 1 and only grows.
pub type RowVersion = u64;
