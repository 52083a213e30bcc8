//! Releases KV caches that no decode server fetches.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use umberglade_wire::pool;
use umberglade_wire::request_content::RequestContent;

use crate::codec::PlatformCodec;
use crate::events;
use crate::model::CacheSource;
use crate::model::SoftwareDigest;
use crate::paths::NO_PATIENCE;
use crate::paths::PathConnector;
use crate::state::GatewayState;
use crate::upstream;
use crate::upstream::SendTarget;

/// Time from the offer of a cache to a decode server until the server fetches it: a connection
/// and a network hop.
const FETCH_MARGIN: Duration = Duration::from_millis(30);
/// Time after which a release has no use: the handle has expired.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(5);

/// Releases the KV cache of a finished prefill when dropped, unless it is disarmed.
///
/// Prevents unused caches from occupying engine memory. When the caller disconnects between
/// prefill and decode, or no decode server fetches the cache, the prefill server can free it
/// at once instead of when the handle expires.
#[derive(Debug)]
pub struct CacheGuard<C: PlatformCodec> {
    state: Arc<GatewayState>,
    target: SendTarget,
    source: Option<CacheSource>,
    software: SoftwareDigest,
    request_id: String,
    created_at: Instant,
    codec: std::marker::PhantomData<C>,
}

impl<C: PlatformCodec> CacheGuard<C> {
    /// Returns a guard of the cache `source` at the server `target`.
    pub fn new(
        state: &Arc<GatewayState>,
        target: SendTarget,
        source: CacheSource,
        software: SoftwareDigest,
        request_id: &str,
    ) -> Self {
        CacheGuard {
            state: Arc::clone(state),
            target,
            source: Some(source),
            software,
            request_id: request_id.to_owned(),
            created_at: Instant::now(),
            codec: std::marker::PhantomData,
        }
    }

    /// Returns the location of the cache.
    pub fn source(&self) -> Option<&CacheSource> {
        self.source.as_ref()
    }

    /// Returns the version that wrote the cache.
    pub fn software(&self) -> SoftwareDigest {
        self.software
    }

    /// Returns true while the prefill server, which keeps the cache for `ttl`, should still
    /// have it when a decode server fetches it. A restarted server has lost it.
    pub fn is_fresh(&self, ttl: Duration) -> bool {
        let fleet = self.state.fleet();
        let server_state = fleet.server(&self.target.server);
        let is_same_incarnation = server_state
            .is_some_and(|server_state| server_state.incarnation == self.target.incarnation);
        is_same_incarnation && self.created_at.elapsed() + FETCH_MARGIN < ttl
    }

    /// Disarms the guard: a decode server has fetched the cache.
    pub fn disarm(mut self) {
        self.source = None;
    }
}

impl<C: PlatformCodec> Drop for CacheGuard<C> {
    fn drop(&mut self) {
        let Some(source) = self.source.take() else { return };
        let state = Arc::clone(&self.state);
        let target = self.target.clone();
        let request_id = std::mem::take(&mut self.request_id);
        pool::spawn(async move { release::<C>(&state, &target, &source, &request_id).await });
    }
}

async fn release<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    target: &SendTarget,
    source: &CacheSource,
    request_id: &str,
) {
    if !state.fleet().take_send_token(target.incarnation, Instant::now()) {
        log_release(target, request_id, "not sent: the rate limit of the server is reached");
        return;
    }
    let request = Request::builder()
        .method(Method::DELETE)
        .uri(C::release_path(&source.handle))
        .header(http::header::HOST, target.address.to_string())
        .body(RequestContent::from(Bytes::new()))
        .expect("a request built from a valid path");
    let deadline = Instant::now() + RELEASE_TIMEOUT;
    let connector = PathConnector { state, request_id, deadline, patience: NO_PATIENCE };
    let sent = upstream::send_with(&connector, &state.pool, target, request, Some(deadline));
    let outcome = match sent.await {
        // Only the status is used: the rest of the answer is left unread, and its connection closed.
        Ok((response, _connection)) => response.status().as_u16().to_string(),
        Err(error) => error.to_string(),
    };
    log_release(target, request_id, &outcome);
}

fn log_release(target: &SendTarget, request_id: &str, outcome: &str) {
    tracing::info!(
        event = events::CACHE_RELEASED,
        request_id,
        server = %target.server,
        outcome,
        "release of a KV cache"
    );
}
