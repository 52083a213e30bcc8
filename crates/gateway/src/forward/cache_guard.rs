//! Lets go of a KV cache that no decode server took.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Method;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use umberglade_wire::pool;

use crate::codec::PlatformCodec;
use crate::events;
use crate::model::CacheSource;
use crate::state::GatewayState;
use crate::upstream;
use crate::upstream::SendTarget;

/// From offering a cache to its being fetched: a connection and a hop.
const FETCH_MARGIN: Duration = Duration::from_millis(30);

/// Holds a finished prompt's KV cache until [`CacheGuard::taken`].
///
/// Guards against engine memory held for nobody: when the caller leaves
/// between the two steps, or no decode server takes the cache, the prefill
/// server is told at once instead of waiting for the handle to lapse.
#[derive(Debug)]
pub struct CacheGuard<C: PlatformCodec> {
    state: Arc<GatewayState>,
    target: SendTarget,
    source: Option<CacheSource>,
    request_id: String,
    created_at: Instant,
    codec: std::marker::PhantomData<C>,
}

impl<C: PlatformCodec> CacheGuard<C> {
    /// A guard of `source` at the server `target`.
    pub fn new(
        state: &Arc<GatewayState>,
        target: SendTarget,
        source: CacheSource,
        request_id: &str,
    ) -> Self {
        CacheGuard {
            state: Arc::clone(state),
            target,
            source: Some(source),
            request_id: request_id.to_owned(),
            created_at: Instant::now(),
            codec: std::marker::PhantomData,
        }
    }

    /// Where the cache is.
    pub fn source(&self) -> Option<&CacheSource> {
        self.source.as_ref()
    }

    /// True while the prefill server, which keeps the cache for `ttl`, should
    /// still have it by the time a decode server asks: one that has started
    /// again since has nothing of before.
    pub fn is_fresh(&self, ttl: Duration) -> bool {
        let fleet = self.state.fleet();
        let server_state = fleet.server(&self.target.server);
        let is_same_incarnation = server_state
            .is_some_and(|server_state| server_state.incarnation == self.target.incarnation);
        is_same_incarnation && self.created_at.elapsed() + FETCH_MARGIN < ttl
    }

    /// A decode server has the cache.
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
        .body(Full::new(Bytes::new()))
        .expect("a request built from a valid path");
    let outcome = match upstream::send(&state.pool, target, request).await {
        Ok((response, _)) => {
            let status = response.status().as_u16();
            // Only the status matters; the body is read to end the exchange.
            let _ = response.into_body().collect().await;
            status.to_string()
        }
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
        "KV cache let go"
    );
}
