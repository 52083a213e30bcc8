//! Connects to a server by the path that works.

use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use smallvec::SmallVec;
use snafu::ResultExt;

use super::path_check::record_broken;
use super::path_check::record_open;
use super::path_check::request_check;
use super::staggered_race::race_staggered;
use crate::cluster::TunnelPeer;
use crate::events;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::tunnel::TunnelError;
use crate::tunnel::TunnelRequest;
use crate::tunnel::open_tunnel;
use crate::upstream::Connect;
use crate::upstream::HandshakeSnafu;
use crate::upstream::SendError;
use crate::upstream::SendTarget;
use crate::upstream::ServerConnection;
use crate::upstream::ServerPath;
use crate::upstream::TunnelSnafu;
use crate::upstream::connect_directly;

/// Time without a connection after which the next path is tried too: several round trips between
/// failure domains, and short against the latency targets of callers.
pub(super) const PATH_STAGGER: Duration = Duration::from_millis(50);
/// Timeout of opening a tunnel: of connecting to the other gateway, and of its connecting to the
/// server.
const TUNNEL_TIMEOUT: Duration = Duration::from_millis(350);
/// Number of gateways that are asked for a tunnel.
const MAX_TUNNEL_PEERS: usize = 2;
/// Maximum number of characters of a request id that another gateway logs.
const MAX_LOGGED_ID: usize = 128;
/// Time for which a tunnel outlives its request at most.
const LIFETIME_MARGIN: Duration = Duration::from_secs(1);

/// How long to try again while connections do not open in time and none is refused. Evaluated only
/// once one did not.
pub type Patience<'a> = &'a (dyn Fn() -> Duration + Sync);

/// Gives up after the first connection that does not open in time.
pub const NO_PATIENCE: Patience<'static> = &|| Duration::ZERO;

/// One way to connect.
#[derive(Debug, Clone, Copy)]
enum PathOption {
    Direct,
    Tunnel(TunnelPeer),
}

/// Opens the connections for one request: directly, or through another gateway where the direct
/// path is broken or slow.
///
/// Nothing is sent before a connection is open, and only one of those that are tried is used.
pub struct PathConnector<'a> {
    pub state: &'a Arc<GatewayState>,
    pub request_id: &'a str,
    /// When the request's caller gives up.
    pub deadline: Instant,
    pub patience: Patience<'a>,
}

impl Connect for PathConnector<'_> {
    async fn connect(&self, target: &SendTarget) -> Result<ServerConnection, SendError> {
        let started_at = Instant::now();
        let mut patience = None;
        loop {
            let connected = self.connect_once(target).await;
            let is_timeout = connected.as_ref().is_err_and(SendError::is_connect_timeout);
            if !is_timeout
                || started_at.elapsed() >= *patience.get_or_insert_with(|| (self.patience)())
            {
                return connected;
            }
        }
    }
}

impl PathConnector<'_> {
    async fn connect_once(&self, target: &SendTarget) -> Result<ServerConnection, SendError> {
        let is_direct_refused = AtomicBool::new(false);
        let is_broken = self.state.fleet().paths.is_broken(target.incarnation);
        let options = self.path_options(target, is_broken);
        let attempts =
            options.into_iter().map(|option| self.open(target, option, &is_direct_refused));
        let raced = race_staggered(attempts, PATH_STAGGER).await;
        let connection =
            raced.map_err(|errors| most_telling(errors, is_broken).expect("a direct path"))?;
        match connection.path {
            ServerPath::Direct => record_open(self.state, target),
            ServerPath::Tunnel if is_direct_refused.load(Ordering::Relaxed) => {
                record_broken(self.state, target);
            }
            ServerPath::Tunnel => self.doubt_path(target),
        }
        Ok(connection)
    }
}

/// Returns the one of `errors` that tells most of the server: that it refuses connections, else that
/// it opened none in time, else the first. With `is_last_broken`, the last is of a path that is known
/// to be broken, and tells nothing if there are others.
///
/// Prevents a server that is silent for a second from counting as unreachable because another
/// gateway had no room for a tunnel.
pub fn most_telling(mut errors: Vec<SendError>, is_last_broken: bool) -> Option<SendError> {
    if is_last_broken && errors.len() > 1 {
        errors.pop();
    }
    let refusal = errors.iter().position(SendError::is_refusal);
    let silence = || errors.iter().position(SendError::is_connect_timeout);
    let index = refusal.or_else(silence).unwrap_or(0);
    errors.into_iter().nth(index)
}

/// Returns true if another gateway reaches `target`.
pub(super) async fn opens_tunnel(state: &Arc<GatewayState>, target: &SendTarget) -> bool {
    let connector = PathConnector::for_check(state, Instant::now());
    let peers = state.fleet().tunnel_peers(target.incarnation, MAX_TUNNEL_PEERS, Instant::now());
    let attempts = peers.into_iter().map(|peer| connector.open_tunnel(target, peer));
    race_staggered(attempts, PATH_STAGGER).await.is_ok()
}

impl<'a> PathConnector<'a> {
    /// Returns the connector of a question that no caller's request asks and that is given up at
    /// `deadline`.
    pub fn for_check(state: &'a Arc<GatewayState>, deadline: Instant) -> Self {
        PathConnector { state, request_id: "-", deadline, patience: NO_PATIENCE }
    }

    /// Returns the ways to connect to `target`, in the order in which to try them: directly last if
    /// that path `is_broken`.
    ///
    /// A server that others have ejected is down rather than cut off from this gateway, so that
    /// tunnels would only delay the next attempt at another server.
    fn path_options(&self, target: &SendTarget, is_broken: bool) -> SmallVec<[PathOption; 3]> {
        let now = Instant::now();
        let fleet = self.state.fleet();
        let is_down = fleet.peers.server(target.incarnation, now).ejections > 0;
        let mut options: SmallVec<[PathOption; 3]> = SmallVec::new();
        if is_broken || !is_down {
            let peers = fleet.tunnel_peers(target.incarnation, MAX_TUNNEL_PEERS, now);
            options.extend(peers.into_iter().map(PathOption::Tunnel));
        }
        options.insert(if is_broken { options.len() } else { 0 }, PathOption::Direct);
        options
    }

    /// Doubts and checks the path to `target`, by which no connection has opened yet, unless it is
    /// known to be broken.
    fn doubt_path(&self, target: &SendTarget) {
        if self.state.fleet().paths.is_broken(target.incarnation) {
            return;
        }
        self.state.fleet().paths.record_doubt(Instant::now());
        request_check(self.state, target);
    }

    async fn open(
        &self,
        target: &SendTarget,
        option: PathOption,
        is_direct_refused: &AtomicBool,
    ) -> Result<ServerConnection, SendError> {
        match option {
            PathOption::Direct => {
                let connected = connect_directly(target.address).await;
                // One that did not open in time may be that of a silent server, which responds now.
                let is_of_path =
                    |error: &SendError| !error.is_connect_timeout() && !error.is_local();
                let is_refused = connected.as_ref().is_err_and(is_of_path);
                is_direct_refused.store(is_refused, Ordering::Relaxed);
                connected
            }
            PathOption::Tunnel(peer) => self.open_tunnel(target, peer).await,
        }
    }

    async fn open_tunnel(
        &self,
        target: &SendTarget,
        peer: TunnelPeer,
    ) -> Result<ServerConnection, SendError> {
        let started_at = Instant::now();
        let lifetime = self.deadline.saturating_duration_since(started_at) + LIFETIME_MARGIN;
        let request = TunnelRequest {
            request_id: self.request_id.chars().take(MAX_LOGGED_ID).collect(),
            gateway: self.state.settings.instance.clone(),
            server: target.server.clone(),
            incarnation: target.incarnation,
            lifetime_ms: lifetime.as_millis() as u64,
        };
        let opening = open_tunnel(peer.address, &request);
        let opened = with_deadline(started_at + TUNNEL_TIMEOUT, opening).await;
        let opened = opened.unwrap_or(Err(TunnelError::Timeout { peer: peer.address }));
        if opened.as_ref().is_err_and(|error| !error.is_of_server()) {
            self.state.fleet().tunnel_rests.record_failure(peer.peer, Instant::now());
        }
        let outcome = opened.as_ref().err().map_or("open".to_owned(), |error| error.to_string());
        metrics::counter!("umberglade_tunnels_used_total").increment(1);
        tracing::info!(
            event = events::TUNNEL_USED,
            request_id = self.request_id,
            server = %target.server,
            gateway = %peer.address,
            elapsed_ms = started_at.elapsed().as_millis() as u64,
            outcome,
            "connection through another gateway"
        );
        let stream = opened.context(TunnelSnafu { peer: target.address })?;
        let handshake = ServerConnection::open(stream, ServerPath::Tunnel).await;
        handshake.context(HandshakeSnafu { peer: target.address })
    }
}
