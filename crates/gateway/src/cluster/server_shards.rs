//! Which servers a gateway sends work to where there are many of both (sharding).

/// Gateways that share a shard at least: enough that losing some changes little.
const MIN_GATEWAYS: usize = 32;
/// Servers of a service in a shard at least: enough that few are the busiest.
const MIN_SERVERS: usize = 32;
/// Gateways from which on servers are sharded. Below that all tell each other at
/// once, and each may use every server.
const MIN_SHARDED_GATEWAYS: usize = 120;

/// Into how many shards the `servers` of a service are divided among `gateways`; a
/// power of two, so that gateways that count differently still share most.
///
/// Guards against what gateways tell each other growing with their square: full
/// links make configuration, servers and loads stale at once. Only those of one
/// shard need each other's loads as they change.
pub fn shard_count(gateways: usize, servers: usize) -> u64 {
    if gateways < MIN_SHARDED_GATEWAYS {
        return 1;
    }
    let max_shards = (gateways / MIN_GATEWAYS).min(servers / MIN_SERVERS).max(1);
    1 << max_shards.ilog2()
}

/// True when two digests, of gateways or servers, fall into the same of `count`
/// shards, a power of two.
pub fn shares_shard(left: u64, right: u64, count: u64) -> bool {
    (left ^ right) & (count - 1) == 0
}
