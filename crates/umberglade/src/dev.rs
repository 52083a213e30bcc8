//! `umberglade dev`: the daemon and every stand-in in one process on
//! loopback, seeded with the three presets and two organisations, so one
//! command shows the whole path.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use umberglade_router::operator::OperatorActions;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::platform::PlatformClient;
use umberglade_router::settings::DEFAULT_PLATFORM_TIMEOUT;
use umberglade_router::settings::DaemonSettings;
use umberglade_standin::engine::EngineConfig;
use umberglade_standin::engine::EngineStandin;
use umberglade_standin::platform::PlatformConfig;
use umberglade_standin::platform::PlatformStandin;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceState;
use umberglade_wire::pool;
use umberglade_wire::server;

use crate::cli::DevArgs;
use crate::logging;
use crate::serve;
use crate::setting;
use crate::setting::StartError;
use crate::standin::register;

const DEV_THREADS: usize = 4;
const LOOPBACK_ANY_PORT: &str = "127.0.0.1:0";

/// The presets seeded in dev, as shipped in `presets/`.
pub const PRESETS: [(&str, &str); 3] = [
    ("ordinary", include_str!("../../../presets/ordinary.toml")),
    ("peak", include_str!("../../../presets/peak.toml")),
    ("maintenance", include_str!("../../../presets/maintenance.toml")),
];

/// The engines of dev: (server, role, failure domain).
const ENGINES: [(&str, EngineRole, &str); 4] = [
    ("brief-p1", EngineRole::Prefill, "hall-a"),
    ("brief-p2", EngineRole::Prefill, "hall-b"),
    ("brief-d1", EngineRole::Decode, "hall-a"),
    ("brief-d2", EngineRole::Decode, "hall-c"),
];

/// Organisations of dev and their API keys.
const ORGANISATIONS: [(&str, &str); 2] =
    [("neulanjalki", "dev-key-neulanjalki"), ("glenmorrow", "dev-key-glenmorrow")];

/// Starts everything and serves until stopped.
pub fn run(args: DevArgs) -> Result<(), StartError> {
    logging::init(args.log_format.clone())?;
    let listen: SocketAddr =
        setting::resolve_parsed("listen", "UMBERGLADE_LISTEN", args.listen, "127.0.0.1:8080")?;
    pool::start(DEV_THREADS);
    let metrics = serve::install_metrics();
    pool::block_on(async move {
        let platform = start_platform().await?;
        for (server, role, domain) in ENGINES {
            let addr = start_engine(server, role).await?;
            let entry = InstanceEntry {
                server: server.into(),
                addr: addr.to_string(),
                role,
                model: "brief-model".into(),
                domain: domain.into(),
                state: InstanceState::Live,
            };
            register(&platform.to_string(), &entry).await;
        }
        seed(&platform.to_string()).await;
        let settings = DaemonSettings {
            listen,
            platform: platform.to_string(),
            daemon_id: "dev-1".into(),
            domain: "hall-a".into(),
            follow_interval: Duration::from_millis(500),
            platform_timeout: DEFAULT_PLATFORM_TIMEOUT,
            threads: DEV_THREADS,
        };
        eprintln!(
            "try: curl -N http://{listen}/v1/chat/completions -H 'Authorization: Bearer dev-key-neulanjalki' \
             -d '{{\"model\":\"brief-model\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"open slots?\"}}]}}'"
        );
        serve::run_daemon(settings, AffinityPlacement, metrics).await
    })
}

async fn start_platform() -> Result<SocketAddr, StartError> {
    let config = PlatformConfig { instance_lag: Duration::ZERO, ..PlatformConfig::default() };
    let listen: SocketAddr = LOOPBACK_ANY_PORT.parse().expect("a loopback address");
    let (listener, local) = server::bind(listen)
        .await
        .map_err(|source| StartError::Bind { addr: listen.to_string(), source })?;
    pool::spawn(server::serve(listener, Arc::new(PlatformStandin::new(config))));
    Ok(local)
}

async fn start_engine(server: &str, role: EngineRole) -> Result<SocketAddr, StartError> {
    let listen: SocketAddr = LOOPBACK_ANY_PORT.parse().expect("a loopback address");
    let (listener, local) = server::bind(listen)
        .await
        .map_err(|source| StartError::Bind { addr: listen.to_string(), source })?;
    let engine = EngineStandin::new(EngineConfig::new(server, role, "brief-model"));
    pool::spawn(server::serve(listener, Arc::new(engine)));
    Ok(local)
}

async fn seed(platform: &str) {
    let actions = OperatorActions {
        platform: PlatformClient::new(platform, DEFAULT_PLATFORM_TIMEOUT),
        actor: "dev".into(),
    };
    for (name, text) in PRESETS {
        if let Err(error) = actions.put_preset(name, text, 0).await {
            tracing::error!(%error, name, "seeding preset");
        }
    }
    for (organisation, key) in ORGANISATIONS {
        if let Err(error) = actions.set_organisation(organisation, vec![key.into()]).await {
            tracing::error!(%error, organisation, "seeding organisation");
        }
    }
    if let Err(error) = actions.activate("ordinary", 0).await {
        tracing::error!(%error, "activating the ordinary preset");
    }
}
