//! Arguments of the daemon and of the one-process dev setup.

use argh::FromArgs;

/// Run the daemon of one entry instance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// address callers connect to [UMBERGLADE_LISTEN, default 127.0.0.1:8080]
    #[argh(option)]
    pub listen: Option<String>,
    /// ip:port of the platform [UMBERGLADE_PLATFORM]
    #[argh(option)]
    pub platform: Option<String>,
    /// this instance's id [UMBERGLADE_DAEMON_ID, default entry-1]
    #[argh(option)]
    pub daemon_id: Option<String>,
    /// this instance's failure domain [UMBERGLADE_DOMAIN]
    #[argh(option)]
    pub domain: Option<String>,
    /// this instance's region [UMBERGLADE_REGION, default none]
    #[argh(option)]
    pub region: Option<String>,
    /// maximum milliseconds that a feed request to the platform is held open
    /// [UMBERGLADE_FOLLOW_MS, default 1500]
    #[argh(option)]
    pub follow_ms: Option<u64>,
    /// milliseconds between heartbeats, which renew the daemon's lease
    /// [UMBERGLADE_MEMBER_BEAT_MS, default 5000]
    #[argh(option)]
    pub member_beat_ms: Option<u64>,
    /// seconds an idempotency record is kept [UMBERGLADE_RECORD_RETENTION_S, default 86400]
    #[argh(option)]
    pub record_retention_s: Option<u64>,
    /// number of worker threads [UMBERGLADE_THREADS, default 1]
    #[argh(option)]
    pub threads: Option<usize>,
    /// megabytes of memory that the process may take [UMBERGLADE_MEMORY_MB, default 128]
    #[argh(option)]
    pub memory_mb: Option<u32>,
    /// descriptors that the process may open, 200 of them for files
    /// [UMBERGLADE_MAX_FDS, default 4100]
    #[argh(option)]
    pub max_fds: Option<u32>,
    /// placement policy: affinity, least-loaded or round-robin
    /// [UMBERGLADE_PLACEMENT, default affinity]
    #[argh(option)]
    pub placement: Option<String>,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}

/// Run the daemon and its stand-ins in one process on loopback, for trying out with curl.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "dev")]
pub struct DevArgs {
    /// address callers connect to [UMBERGLADE_LISTEN, default 127.0.0.1:8080]
    #[argh(option)]
    pub listen: Option<String>,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}
