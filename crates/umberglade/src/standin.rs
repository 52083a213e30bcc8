//! `umberglade standin ...`: one stand-in for an external system per process.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use umberglade_standin::engine::EngineConfig;
use umberglade_standin::engine::EngineStandin;
use umberglade_standin::engine::register;
use umberglade_standin::plain::PlainStandin;
use umberglade_standin::platform::PlatformConfig;
use umberglade_standin::platform::PlatformStandin;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceState;
use umberglade_wire::pool;
use umberglade_wire::server;

use crate::cli::EngineArgs;
use crate::cli::PlainArgs;
use crate::cli::PlatformArgs;
use crate::logging;
use crate::serve::wait_for_stop;
use crate::setting;
use crate::setting::StartError;

/// Worker threads of a stand-in.
const STANDIN_THREADS: usize = 2;

/// Runs the platform stand-in until stopped.
pub fn platform(args: PlatformArgs) -> Result<(), StartError> {
    logging::init(args.log_format.clone())?;
    let listen: SocketAddr =
        setting::resolve_parsed("listen", "UMBERGLADE_LISTEN", args.listen, "127.0.0.1:7100")?;
    let mut config = PlatformConfig::default();
    if let Some(lag) = args.instance_lag_ms {
        config.instance_lag = Duration::from_millis(lag);
    }
    pool::start(STANDIN_THREADS);
    pool::block_on(async move {
        let (listener, local) = bind(listen).await?;
        pool::spawn(server::serve(listener, Arc::new(PlatformStandin::new(config))));
        println!("listening on {local}");
        wait_for_stop().await;
        Ok(())
    })
}

/// Runs an engine stand-in until stopped. On SIGTERM it registers as leaving and waits until the
/// requests that it holds have finished (a planned stop).
pub fn engine(args: EngineArgs) -> Result<(), StartError> {
    logging::init(args.log_format.clone())?;
    let listen: SocketAddr =
        setting::resolve_parsed("listen", "UMBERGLADE_LISTEN", args.listen, "127.0.0.1:0")?;
    let role: EngineRole = args.role.parse().map_err(|_| StartError::Setting {
        flag: "role",
        env: "-",
        problem: format!("`{}`: must be prefill or decode", args.role),
    })?;
    let mut config = EngineConfig::new(args.server, role, args.model);
    config.domain = args.domain;
    config.region = args.region;
    config.register_with = args.register_with;
    config.slots = args.slots.unwrap_or(config.slots);
    config.prefill_per_token =
        args.prefill_us.map_or(config.prefill_per_token, Duration::from_micros);
    config.decode_per_token = args.decode_ms.map_or(config.decode_per_token, Duration::from_millis);
    config.checks_fence = args.checks_fence;
    pool::start(STANDIN_THREADS);
    pool::block_on(async move {
        let (listener, local) = bind(listen).await?;
        let engine = EngineStandin::new(config);
        engine.set_listen_addr(local);
        pool::spawn(server::serve(listener, Arc::new(engine.clone())));
        engine.register(InstanceState::Live).await;
        println!("listening on {local}");
        wait_for_stop().await;
        engine.register(InstanceState::Leaving).await;
        engine.drain().await;
        Ok(())
    })
}

/// Runs a plain-service stand-in until stopped.
pub fn plain(args: PlainArgs) -> Result<(), StartError> {
    logging::init(args.log_format.clone())?;
    let listen: SocketAddr =
        setting::resolve_parsed("listen", "UMBERGLADE_LISTEN", args.listen, "127.0.0.1:0")?;
    pool::start(STANDIN_THREADS);
    pool::block_on(async move {
        let (listener, local) = bind(listen).await?;
        pool::spawn(server::serve(listener, Arc::new(PlainStandin::default())));
        let entry = InstanceEntry {
            server: args.server,
            addr: local.to_string(),
            role: EngineRole::Plain,
            model: args.service,
            domain: args.domain,
            region: String::new(),
            state: InstanceState::Live,
        };
        if let Some(platform) = &args.register_with {
            register(platform, &entry).await;
        }
        println!("listening on {local}");
        wait_for_stop().await;
        Ok(())
    })
}

async fn bind(listen: SocketAddr) -> Result<(smol::net::TcpListener, SocketAddr), StartError> {
    server::bind(listen)
        .await
        .map_err(|source| StartError::Bind { addr: listen.to_string(), source })
}
