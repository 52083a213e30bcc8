//! Type aliases for the identifiers that cross process boundaries.

/// A request's id: `"{daemon}-{incarnation}-{sequence}"`, never used twice.
pub type RequestId = String;
/// An organisation's name, as in the organisations table (`"neulanjalki"`).
pub type OrganisationId = String;
/// A backend server's id, as in the instance list (`"brief-p1"`).
pub type ServerId = String;
/// A model's name, as callers send it (`"brief-model"`).
pub type ModelName = String;
/// A daemon instance's id, from its settings (`"entry-1"`).
pub type DaemonId = String;
/// A failure domain's name (`"hall-a"`).
pub type DomainName = String;
/// A region's name (`"tampere"`); empty at a site of one region.
pub type RegionName = String;
/// A handle to a KV cache exported by a prefill server.
pub type KvHandle = u64;
/// A fencing number: the version of the preset that an order was made under.
pub type Fence = u64;
/// A row version in the platform's table service; starts at 1, only grows.
pub type RowVersion = u64;
