//! The command line of `umberglade`.
//!
//! A flag whose help names an environment variable can also be set by it: the flag's name in
//! capitals, prefixed with `UMBERGLADE_` (`--listen` / `UMBERGLADE_LISTEN`). The flag takes
//! precedence.

mod bench;
mod gateway;
mod serve;
mod standin;

use argh::FromArgs;

pub use self::bench::ExperimentArgs;
pub use self::bench::LatencyArgs;
pub use self::bench::LoadArgs;
pub use self::gateway::GatewayArgs;
pub use self::serve::DevArgs;
pub use self::serve::ServeArgs;
pub use self::standin::EngineArgs;
pub use self::standin::PlainArgs;
pub use self::standin::PlatformArgs;
pub use self::standin::StandinArgs;
pub use self::standin::StandinKind;

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
    Gateway(GatewayArgs),
    Dev(DevArgs),
    Standin(StandinArgs),
    Load(LoadArgs),
    Experiment(ExperimentArgs),
    Latency(LatencyArgs),
}
