//! Finds the route of a request and the organisation of its caller.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::forward::Rejection;
use crate::model::CallerIdentity;
use crate::model::CallerKey;
use crate::model::CallerLookup;
use crate::model::Organisation;
use crate::model::Route;
use crate::model::RouteTable;
use crate::state::GatewayState;
use crate::timing::with_deadline;

/// How long a request with an unknown route or key waits for a newer configuration that may know
/// it: a read of the store and a margin.
const NEWER_CONFIG_TIMEOUT: Duration = Duration::from_millis(400);
/// Interval at which such a request checks for a newer configuration.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// `Retry-After` of a request for which no newer configuration could be read.
pub(super) const CONFIG_UNSETTLED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// The configuration that applies to a request.
pub(super) struct FoundRoute {
    pub table: Arc<RouteTable>,
    pub route: Arc<Route>,
    pub organisation: Option<Arc<Organisation>>,
}

impl FoundRoute {
    /// Returns what the request to a server states about the caller.
    pub fn caller_identity(&self) -> CallerIdentity {
        CallerIdentity {
            organisation: self.organisation.as_ref().map(|organisation| organisation.name.clone()),
            strips_key: !self.table.organisations.is_empty(),
        }
    }
}

/// Returns the route of a request, and the organisation that its key belongs to.
///
/// A caller whose route or key is rejected as unknown does not retry. So unless the configuration
/// in force is certainly the newest, the newest is read first; where that fails, the request is
/// rejected with a `Retry-After`.
pub(super) async fn find_route(
    state: &GatewayState,
    host: &str,
    path: &str,
    key: &CallerKey,
) -> Result<FoundRoute, Rejection> {
    let deadline = Instant::now() + NEWER_CONFIG_TIMEOUT;
    loop {
        let table = state.route_table().ok_or(Rejection::NoConfiguration)?;
        let rejection = match match_route(table, host, path, key) {
            Ok(found) => return Ok(found),
            Err(rejection) => rejection,
        };
        if state.has_newest_config() {
            return Err(rejection);
        }
        if Instant::now() >= deadline {
            return Err(Rejection::ConfigUnsettled);
        }
        state.request_config_read();
        // The next check finds a configuration that arrives before the wait begins.
        with_deadline(
            deadline.min(Instant::now() + POLL_INTERVAL),
            state.capacity_changed.listen(),
        )
        .await;
    }
}

fn match_route(
    table: Arc<RouteTable>,
    host: &str,
    path: &str,
    key: &CallerKey,
) -> Result<FoundRoute, Rejection> {
    let route = Arc::clone(table.route(host, path).ok_or(Rejection::NoRoute)?);
    let organisation = match table.organisations.caller(key, route.is_open) {
        CallerLookup::Anonymous => None,
        CallerLookup::Known(organisation) => Some(organisation),
        CallerLookup::UnknownKey => return Err(Rejection::UnknownKey),
    };
    Ok(FoundRoute { table, route, organisation })
}
