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
use crate::timing::with_deadline;

/// How long a request with an unknown route or key waits for a configuration that
/// may know it: a read of the store and a margin.
const NEWER_WAIT: Duration = Duration::from_millis(400);
/// Such a request looks this often.
const LOOK_AGAIN: Duration = Duration::from_millis(50);
/// How soon to come back where none could be had.
pub(super) const NEWER_RETRY: Duration = Duration::from_millis(500);

/// What a configuration says of a request.
pub(super) struct FoundRoute {
    pub table: Arc<RouteTable>,
    pub route: Arc<Route>,
    pub organisation: Option<Arc<Organisation>>,
}

impl FoundRoute {
    /// What servers are told of who calls.
    pub fn mark(&self) -> CallerMark {
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
    let until = Instant::now() + NEWER_WAIT;
    loop {
        let table = state.route_table().ok_or(Rejection::NoConfiguration)?;
        let refusal = match look_up(table, host, path, key) {
            Ok(found) => return Ok(found),
            Err(refusal) => refusal,
        };
        if state.has_newest_config() {
            return Err(refusal);
        }
        if Instant::now() >= until {
            return Err(Rejection::ConfigUnsettled);
        }
        state.request_config_read();
        // A change that comes meanwhile is seen at the next look.
        with_deadline(until.min(Instant::now() + LOOK_AGAIN), state.capacity_changed.listen())
            .await;
    }
}

fn look_up(
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
