//! Finds the route of a request and who calls.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use crate::forward::Rejection;
use crate::model::CallerKey;
use crate::model::CallerMark;
use crate::model::CallerVerdict;
use crate::model::Organisation;
use crate::model::Route;
use crate::model::RouteTable;
use crate::state::GatewayState;
use crate::timing::by_deadline;

/// How long a request with an unknown route or key waits for a configuration that
/// may know it: a read of the store and a margin.
const NEWER_CONFIG_TIMEOUT: Duration = Duration::from_millis(400);
/// Such a request looks this often.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// How soon to come back where none could be had.
pub(super) const CONFIG_UNSETTLED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a configuration says of a request.
pub(super) struct FoundRoute {
    pub table: Arc<RouteTable>,
    pub route: Arc<Route>,
    pub organisation: Option<Arc<Organisation>>,
}

impl FoundRoute {
    /// What servers are told of who calls.
    pub fn caller_mark(&self) -> CallerMark {
        CallerMark {
            organisation: self.organisation.as_ref().map(|of| of.name.clone()),
            hides_key: !self.table.organisations.is_empty(),
        }
    }
}

/// The route of a request, and whose key it bears.
///
/// A caller who is told that its route or key is unknown does not come back.
/// Unless the configuration in force is surely the newest it is read first, and
/// the request is refused for now where that can't be done.
pub(super) async fn find_route(
    state: &GatewayState,
    host: &str,
    path: &str,
    key: &CallerKey,
) -> Result<FoundRoute, Rejection> {
    let deadline = Instant::now() + NEWER_CONFIG_TIMEOUT;
    loop {
        let table = state.table().ok_or(Rejection::NoConfiguration)?;
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
        state.ask_for_config();
        // A change that comes meanwhile is seen at the next look.
        by_deadline(deadline.min(Instant::now() + POLL_INTERVAL), state.room.listen()).await;
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
        CallerVerdict::Anyone => None,
        CallerVerdict::Known(organisation) => Some(organisation),
        CallerVerdict::Unknown => return Err(Rejection::UnknownKey),
    };
    Ok(FoundRoute { table, route, organisation })
}
