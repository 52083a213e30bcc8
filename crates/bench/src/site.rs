//! A complete deployment in one process on loopback: platform, engines, plain services and daemons.
//! A command starts no other processes, so one that runs or measures the complete request path
//! holds all of them in its own process.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use umberglade_router::operator::OperatorActions;
use umberglade_router::operator::OperatorError;
use umberglade_router::placement::Placement;
use umberglade_router::platform::PlatformClient;
use umberglade_router::settings::DEFAULT_HEARTBEAT_INTERVAL;
use umberglade_router::settings::DEFAULT_PLATFORM_TIMEOUT;
use umberglade_router::settings::DEFAULT_RECORD_RETENTION;
use umberglade_router::settings::DaemonSettings;
use umberglade_router::start;
use umberglade_router::start::StartedDaemon;
use umberglade_standin::engine::EngineConfig;
use umberglade_standin::engine::EngineStandin;
use umberglade_standin::engine::register;
use umberglade_standin::plain::PlainStandin;
use umberglade_standin::platform::PlatformConfig;
use umberglade_standin::platform::PlatformStandin;
use umberglade_wire::engine::EngineRole;
use umberglade_wire::memory::ProcessLimits;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::InstanceState;
use umberglade_wire::pool;
use umberglade_wire::server;
use umberglade_wire::server::RequestHandler;

/// Maximum time to wait until a daemon lists every server.
const READY_TIMEOUT: Duration = Duration::from_secs(5);

/// The deployment's platform and servers, to which daemons can be added.
#[derive(Debug)]
pub struct LocalSite {
    pub platform: SocketAddr,
    pub engines: Vec<LocalEngine>,
    server_count: usize,
}

/// One engine of the site.
#[derive(Debug)]
pub struct LocalEngine {
    pub standin: EngineStandin,
    pub addr: SocketAddr,
}

impl LocalSite {
    /// Starts a site with only a platform, whose instance list lags by `lag`.
    pub async fn start(lag: Duration) -> io::Result<LocalSite> {
        let config = PlatformConfig { instance_lag: lag, ..PlatformConfig::default() };
        let platform = serve(any_port(), Arc::new(PlatformStandin::new(config))).await?;
        Ok(LocalSite { platform, engines: Vec::new(), server_count: 0 })
    }

    /// Adds an engine and registers it in the instance list.
    pub async fn add_engine(&mut self, mut config: EngineConfig) -> io::Result<()> {
        config.register_with = Some(self.platform.to_string());
        let standin = EngineStandin::new(config);
        let addr = serve(any_port(), Arc::new(standin.clone())).await?;
        standin.set_listen_addr(addr);
        standin.register(InstanceState::Live).await;
        self.engines.push(LocalEngine { standin, addr });
        self.server_count += 1;
        Ok(())
    }

    /// Adds a server of plain service `service`.
    pub async fn add_plain(&mut self, server: &str, service: &str, domain: &str) -> io::Result<()> {
        let addr = serve(any_port(), Arc::new(PlainStandin::default())).await?;
        let entry = InstanceEntry {
            server: server.to_owned(),
            addr: addr.to_string(),
            role: EngineRole::Plain,
            model: service.to_owned(),
            domain: domain.to_owned(),
            region: String::new(),
            state: InstanceState::Live,
        };
        register(&self.platform.to_string(), &entry).await;
        self.server_count += 1;
        Ok(())
    }

    /// Writes presets and organisations and activates the first preset.
    pub async fn seed(
        &self,
        presets: &[(&str, &str)],
        organisations: &[(&str, &str)],
    ) -> Result<(), OperatorError> {
        let actions = OperatorActions {
            platform: PlatformClient::new(self.platform.to_string(), DEFAULT_PLATFORM_TIMEOUT),
            actor: "seed".into(),
        };
        for (name, text) in presets {
            actions.put_preset(name, text, 0).await?;
        }
        for (organisation, key) in organisations {
            actions.set_organisation(organisation, vec![(*key).to_owned()]).await?;
        }
        if let Some((name, _)) = presets.first() {
            actions.activate(name, 0).await?;
        }
        Ok(())
    }

    /// Returns the settings of a daemon of this site.
    pub fn daemon_settings(&self, daemon_id: &str, domain: &str) -> DaemonSettings {
        DaemonSettings {
            listen: any_port(),
            platform: self.platform.to_string(),
            daemon_id: daemon_id.to_owned(),
            domain: domain.to_owned(),
            region: String::new(),
            incarnation: fastrand::u64(..),
            feed_wait: Duration::from_millis(500),
            heartbeat_interval: DEFAULT_HEARTBEAT_INTERVAL,
            record_retention: DEFAULT_RECORD_RETENTION,
            limits: ProcessLimits::default(),
            platform_timeout: DEFAULT_PLATFORM_TIMEOUT,
            threads: 0,
        }
    }

    /// Starts a daemon and waits until it lists every server.
    pub async fn add_daemon<P: Placement>(
        &self,
        settings: DaemonSettings,
        placement: P,
    ) -> io::Result<StartedDaemon<P>> {
        let started = start::start(settings, placement, None).await?;
        let deadline = std::time::Instant::now() + READY_TIMEOUT;
        while started.daemon.status().servers.len() < self.server_count {
            if std::time::Instant::now() > deadline {
                return Err(io::Error::other("a daemon did not list every server in time"));
            }
            smol::Timer::after(Duration::from_millis(20)).await;
        }
        Ok(started)
    }

    /// Returns `host:port` of every engine.
    pub fn engine_addrs(&self) -> Vec<String> {
        self.engines.iter().map(|engine| engine.addr.to_string()).collect()
    }
}

fn any_port() -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 0))
}

async fn serve<H: RequestHandler>(listen: SocketAddr, handler: Arc<H>) -> io::Result<SocketAddr> {
    let (listener, local) = server::bind(listen).await?;
    pool::spawn(server::serve(listener, handler));
    Ok(local)
}
