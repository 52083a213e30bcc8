//! Arguments of the stand-ins.

use argh::FromArgs;

/// Run a stand-in for one external system.
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

/// A plain service whose calls must not be retried (booking-desk).
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
    /// host:port of the platform stand-in to whose instance list this server is added
    #[argh(option)]
    pub register_with: Option<String>,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}

/// The platform: table service, object store and instance list.
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
    #[argh(option, default = "String::from(\"brief-model\")")]
    pub model: String,
    /// failure domain [default hall-a]
    #[argh(option, default = "String::from(\"hall-a\")")]
    pub domain: String,
    /// region [default none]
    #[argh(option, default = "String::new()")]
    pub region: String,
    /// host:port of the platform stand-in to whose instance list this server is added
    #[argh(option)]
    pub register_with: Option<String>,
    /// maximum requests held at the same time [default 20]
    #[argh(option)]
    pub slots: Option<u32>,
    /// microseconds of prefill per prompt token [default 20]
    #[argh(option)]
    pub prefill_us: Option<u64>,
    /// milliseconds per decode step of a request that runs alone [default 8]
    #[argh(option)]
    pub decode_ms: Option<u64>,
    /// reject orders with an old fencing token: true or false [default true]
    #[argh(option, default = "true")]
    pub checks_fence: bool,
    /// log format: text or json [UMBERGLADE_LOG_FORMAT, default text]
    #[argh(option)]
    pub log_format: Option<String>,
}
