//! The command line of `umberglade`.
//!
//! Every setting is a flag with an environment variable of the same name
//! in capitals behind `UMBERGLADE_` (`--listen` / `UMBERGLADE_LISTEN`); the
//! flag wins.

use argh::FromArgs;

/// umberglade: a router for separate prefill and decode pools.
#[derive(FromArgs, Debug)]
pub struct Cli {
    #[argh(subcommand)]
    pub command: Command,
}

/// The subcommands.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum Command {
    Serve(ServeArgs),
    Dev(DevArgs),
    Standin(StandinArgs),
    Load(LoadArgs),
}

/// Send a bounded open-loop load of lookups and long briefs to a daemon
/// and report goodput, latency percentiles, refusals and wasted prefill.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "load")]
pub struct LoadArgs {
    /// host:port of the daemon
    #[argh(option)]
    pub target: String,
    /// API key to send with (repeatable: one per organisation)
    #[argh(option)]
    pub key: Vec<String>,
    /// model to ask for [default brief-model]
    #[argh(option, default = "String::from(\"brief-model\")")]
    pub model: String,
    /// requests to send [default 200]
    #[argh(option, default = "200")]
    pub requests: u32,
    /// arrivals a second [default 20]
    #[argh(option, default = "20.0")]
    pub rate: f64,
    /// share of long briefs, 0 to 1 [default 0.2]
    #[argh(option, default = "0.2")]
    pub long_share: f64,
    /// prompt tokens of a lookup [default 40]
    #[argh(option, default = "40")]
    pub short_prompt_tokens: u32,
    /// prompt tokens of a brief [default 8000]
    #[argh(option, default = "8000")]
    pub long_prompt_tokens: u32,
    /// tokens of the shared guidelines prefix of a brief [default 4000]
    #[argh(option, default = "4000")]
    pub shared_prefix_tokens: u32,
    /// tokens to generate [default 16]
    #[argh(option, default = "16")]
    pub max_tokens: u32,
    /// engine host:port whose wasted prefill to count (repeatable)
    #[argh(option)]
    pub engine: Vec<String>,
    /// stop sending after this many seconds [default 60]
    #[argh(option, default = "60")]
    pub seconds: u64,
}

/// Run the daemon of one entry instance.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "serve")]
pub struct ServeArgs {
    /// address callers connect to [UMBERGLADE_LISTEN, default 127.0.0.1:8080]
    #[argh(option)]
    pub listen: Option<String>,
    /// host:port of the platform's table service [UMBERGLADE_PLATFORM]
    #[argh(option)]
    pub platform: Option<String>,
    /// this instance's id [UMBERGLADE_DAEMON_ID, default entry-1]
    #[argh(option)]
    pub daemon_id: Option<String>,
    /// this instance's failure domain [UMBERGLADE_DOMAIN]
    #[argh(option)]
    pub domain: Option<String>,
    /// milliseconds between reads of what is in force [UMBERGLADE_FOLLOW_MS, default 1000]
    #[argh(option)]
    pub follow_ms: Option<u64>,
    /// worker threads [UMBERGLADE_THREADS, default 4]
    #[argh(option)]
    pub threads: Option<usize>,
    /// placement policy: affinity or round-robin [UMBERGLADE_PLACEMENT, default affinity]
    #[argh(option)]
    pub placement: Option<String>,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}

/// Run daemon and stand-ins in one process on loopback, ready for curl.
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

/// Run one stand-in of an outside system.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "standin")]
pub struct StandinArgs {
    #[argh(subcommand)]
    pub kind: StandinKind,
}

/// The stand-ins.
#[derive(FromArgs, Debug)]
#[argh(subcommand)]
pub enum StandinKind {
    Platform(PlatformArgs),
    Engine(EngineArgs),
    Plain(PlainArgs),
}

/// A plain service whose calls must not be repeated (booking-desk).
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "plain")]
pub struct PlainArgs {
    /// address to listen on [UMBERGLADE_LISTEN, default 127.0.0.1:0]
    #[argh(option)]
    pub listen: Option<String>,
    /// server id in the instance list
    #[argh(option)]
    pub server: String,
    /// service name callers use in /v1/services/NAME/call [default booking-desk]
    #[argh(option, default = "String::from(\"booking-desk\")")]
    pub service: String,
    /// failure domain [default hall-a]
    #[argh(option, default = "String::from(\"hall-a\")")]
    pub domain: String,
    /// host:port of the platform stand-in to enter this server in its instance list
    #[argh(option)]
    pub register_with: Option<String>,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}

/// The platform: table service and instance list.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "platform")]
pub struct PlatformArgs {
    /// address to listen on [UMBERGLADE_LISTEN, default 127.0.0.1:7100]
    #[argh(option)]
    pub listen: Option<String>,
    /// milliseconds the instance list lags behind changes [default 2000]
    #[argh(option)]
    pub instance_lag_ms: Option<u64>,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}

/// An engine: a prefill or decode server.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "engine")]
pub struct EngineArgs {
    /// address to listen on [UMBERGLADE_LISTEN, default 127.0.0.1:0]
    #[argh(option)]
    pub listen: Option<String>,
    /// server id in the instance list
    #[argh(option)]
    pub server: String,
    /// prefill or decode
    #[argh(option)]
    pub role: String,
    /// model served [default brief-model]
    #[argh(option)]
    pub model: Option<String>,
    /// failure domain [default hall-a]
    #[argh(option)]
    pub domain: Option<String>,
    /// host:port of the platform stand-in to enter this server in its instance list
    #[argh(option)]
    pub register_with: Option<String>,
    /// requests held at once [default 20]
    #[argh(option)]
    pub slots: Option<u32>,
    /// refuse orders with an old fencing number: true or false [default true]
    #[argh(option)]
    pub checks_fence: Option<bool>,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}
