//! `umberglade gateway`: the gateway of one instance of the users' platform.

use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use async_signal::Signal;
use async_signal::Signals;
use futures_lite::StreamExt;
use umberglade_gateway::events;
use umberglade_gateway::model::GatewaySettings;
use umberglade_gateway::panics;
use umberglade_gateway::start;
use umberglade_gateway::state::GatewayState;
use umberglade_gateway::upstream::AddressMap;
use umberglade_platform::UsersPlatform;
use umberglade_platform::node_file;
use umberglade_wire::pool;

use crate::cli::GatewayArgs;
use crate::logging;
use crate::serve::install_metrics;
use crate::setting;
use crate::setting::StartError;

const DEFAULT_THREADS: usize = 1;
/// Log lines per second: about ten times what an instance of a small site writes on an ordinary
/// day, and at most 150 KB a second.
const DEFAULT_LOG_LINES_PER_S: u32 = 400;

/// Reads the settings file, then serves until SIGTERM or SIGINT.
pub fn run(args: GatewayArgs) -> Result<(), StartError> {
    let lines_per_s = setting::resolve_within(
        "log-lines",
        "UMBERGLADE_LOG_LINES",
        args.log_lines,
        DEFAULT_LOG_LINES_PER_S,
        1..=1_000_000,
    )?;
    let _log_guard = logging::init_json(lines_per_s);
    panics::install_hook();
    let threads = setting::resolve_within(
        "threads",
        "UMBERGLADE_THREADS",
        args.threads,
        DEFAULT_THREADS,
        1..=256,
    )?;
    let path = setting::resolve("node-file", node_file::PATH_VARIABLE, args.node_file, None)?;
    let path = PathBuf::from(path);
    let mut settings = node_file::read(&path).map_err(start_error)?;
    settings.metrics = metrics_address(args.metrics_port, &settings)?;
    let server_addresses: AddressMap = setting::resolve_parsed(
        "server-addresses",
        "UMBERGLADE_SERVER_ADDRESSES",
        args.server_addresses,
        "",
    )?;
    server_addresses.install();
    pool::start(threads);
    pool::block_on(serve(path, settings))
}

/// Returns the address that serves metrics in addition to the ready address, or `None` if no
/// metrics port is set.
fn metrics_address(
    port: Option<u16>,
    settings: &GatewaySettings,
) -> Result<Option<SocketAddr>, StartError> {
    const VARIABLE: &str = "UMBERGLADE_METRICS_PORT";
    if port.is_none() && std::env::var_os(VARIABLE).is_none() {
        return Ok(None);
    }
    let port = setting::resolve("metrics-port", VARIABLE, port, None)?;
    Ok(Some(SocketAddr::new(settings.front.ip(), port)))
}

async fn serve(path: PathBuf, settings: GatewaySettings) -> Result<(), StartError> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Hup]).map_err(start_error)?;
    let state =
        start::start::<UsersPlatform>(settings, install_metrics()).await.map_err(start_error)?;
    while let Some(signal) = signals.next().await {
        match signal.map_err(start_error)? {
            Signal::Hup => reload(&path, &state),
            _ => break,
        }
    }
    start::stop(&state).await;
    Ok(())
}

/// Reads the settings file again. Changed settings take effect only at the next start, so the file
/// is only validated and the result logged.
fn reload(path: &Path, state: &Arc<GatewayState>) {
    match node_file::read(path) {
        Ok(settings) => {
            // The metrics address comes from the flag, not from the file.
            let settings = GatewaySettings { metrics: state.settings.metrics, ..settings };
            tracing::info!(
                event = events::SETTINGS_RELOADED,
                path = %path.display(),
                changed = settings != state.settings,
                "settings file reloaded"
            );
        }
        Err(error) => tracing::error!(
            event = events::SETTINGS_REJECTED,
            path = %path.display(),
            %error,
            "settings file is invalid; keeping the current settings"
        ),
    }
}

fn start_error(error: impl std::fmt::Display) -> StartError {
    StartError::Failed { message: error.to_string() }
}
