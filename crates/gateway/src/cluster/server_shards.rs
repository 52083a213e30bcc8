//! Divides servers among gateways where there are many of both (sharding).

/// Minimum number of gateways that share a shard: enough that losing some changes little.
const MIN_GATEWAYS: usize = 32;
/// Minimum number of servers of a service in a shard: enough that few are the busiest.
const MIN_SERVERS: usize = 32;
/// Number of gateways from which on servers are sharded. Below it all gateways report to each other
/// immediately, and each may use every server.
const MIN_SHARDED_GATEWAYS: usize = 120;

/// Returns the number of shards into which the `servers` of a service are divided among `gateways`:
/// a power of two, so that gateways that count differently still share most of their servers.
///
/// Prevents the traffic between gateways from growing with the square of their number: saturated
/// links make configuration, servers and loads stale at the same time. Only the gateways of one
/// shard need each other's loads as they change.
pub fn shard_count(gateways: usize, servers: usize) -> u64 {
    let max_shards = (servers / MIN_SERVERS).max(1);
    gateway_groups(gateways).min(1 << max_shards.ilog2())
}

/// Returns the number of groups into which `gateways` are divided, a power of two. The gateways of a
/// group share their shard of each service that has as many shards; of other services, several
/// groups share one.
///
/// It does not depend on the servers: at the start of a site few of them are known, and all gateways
/// would be in one group.
pub fn gateway_groups(gateways: usize) -> u64 {
    if gateways < MIN_SHARDED_GATEWAYS {
        return 1;
    }
    1 << (gateways / MIN_GATEWAYS).max(1).ilog2()
}

/// Returns true if two digests, of gateways or servers, fall into the same of `count` shards.
/// `count` must be a power of two.
pub fn shares_shard(left: u64, right: u64, count: u64) -> bool {
    (left ^ right) & (count - 1) == 0
}
