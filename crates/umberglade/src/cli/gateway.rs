//! Arguments of the gateway on the users' platform.

use argh::FromArgs;

/// Run the gateway of one instance of the platform.
#[derive(FromArgs, Debug)]
#[argh(subcommand, name = "gateway")]
pub struct GatewayArgs {
    /// path of the platform's settings file [UMBERGLADE_NODE_FILE]
    #[argh(option)]
    pub node_file: Option<String>,
    /// number of worker threads [UMBERGLADE_THREADS, default 1]
    #[argh(option)]
    pub threads: Option<usize>,
    /// maximum log lines per second; further lines are counted and dropped
    /// [UMBERGLADE_LOG_LINES, default 400]
    #[argh(option)]
    pub log_lines: Option<u32>,
    /// port that serves metrics, on the address of the callers' port; 0 picks any free port; when
    /// unset, metrics are served on the ready address only [UMBERGLADE_METRICS_PORT]
    #[argh(option)]
    pub metrics_port: Option<u16>,
    /// addresses at which this instance reaches servers by port forwarding or address translation,
    /// as REGISTERED=REACHED,...; other servers are reached at the address that they have registered
    /// [UMBERGLADE_SERVER_ADDRESSES]
    #[argh(option)]
    pub server_addresses: Option<String>,
}
