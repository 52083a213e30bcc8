//! `umberglade dev`: the daemon and every stand-in in one process on loopback, seeded with the
//! three presets and two organisations, so that one command runs the complete request path.

use std::net::SocketAddr;
use std::time::Duration;

use umberglade_bench::site::LocalSite;
use umberglade_router::placement::AffinityPlacement;
use umberglade_router::settings::DaemonSettings;
use umberglade_standin::engine::EngineConfig;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::pool;

use crate::cli::DevArgs;
use crate::logging;
use crate::serve;
use crate::setting;
use crate::setting::StartError;

const DEV_THREADS: usize = 4;

/// The presets seeded in dev, as shipped in `presets/`; the first one is activated.
const PRESETS: [(&str, &str); 3] = [
    ("ordinary", include_str!("../../../presets/ordinary.toml")),
    ("peak", include_str!("../../../presets/peak.toml")),
    ("maintenance", include_str!("../../../presets/maintenance.toml")),
];

/// The engines of the dev setup: (server, role, failure domain).
const ENGINES: [(&str, EngineRole, &str); 4] = [
    ("brief-p1", EngineRole::Prefill, "hall-a"),
    ("brief-p2", EngineRole::Prefill, "hall-b"),
    ("brief-d1", EngineRole::Decode, "hall-a"),
    ("brief-d2", EngineRole::Decode, "hall-c"),
];

/// Organisations of the dev setup and their API keys.
const ORGANISATIONS: [(&str, &str); 2] =
    [("neulanjalki", "dev-key-neulanjalki"), ("glenmorrow", "dev-key-glenmorrow")];

/// Starts the daemon and all stand-ins and serves until stopped.
pub fn run(args: DevArgs) -> Result<(), StartError> {
    logging::init(args.log_format.clone())?;
    let listen: SocketAddr =
        setting::resolve_parsed("listen", "UMBERGLADE_LISTEN", args.listen, "127.0.0.1:8080")?;
    pool::start(DEV_THREADS);
    let metrics = serve::install_metrics();
    pool::block_on(async move {
        let site = start_site().await.map_err(|message| StartError::Failed { message })?;
        let settings = DaemonSettings { listen, ..site.daemon_settings("dev-1", "hall-a") };
        eprintln!("platform on {}: umberctl --platform {}", settings.platform, settings.platform);
        eprintln!(
            "try: curl -N http://{listen}/v1/chat/completions -H 'Authorization: Bearer dev-key-neulanjalki' \
             -d '{{\"model\":\"brief-model\",\"stream\":true,\"max_tokens\":8,\"messages\":[{{\"role\":\"user\",\"content\":\"open slots?\"}}]}}'"
        );
        serve::run_daemon(settings, AffinityPlacement::default(), metrics).await
    })
}

async fn start_site() -> Result<LocalSite, String> {
    let text = |error: std::io::Error| error.to_string();
    let mut site = LocalSite::start(Duration::ZERO).await.map_err(text)?;
    for (server, role, domain) in ENGINES {
        let mut config = EngineConfig::new(server, role, "brief-model");
        config.domain = domain.into();
        site.add_engine(config).await.map_err(text)?;
    }
    site.add_plain("desk-1", "booking-desk", "hall-a").await.map_err(text)?;
    site.seed(&PRESETS, &ORGANISATIONS).await.map_err(|error| error.to_string())?;
    Ok(site)
}
