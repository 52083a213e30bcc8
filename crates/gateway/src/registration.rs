//! Registers this gateway with the store, so that gateways that start later find it.

use std::sync::Arc;
use std::time::Duration;

use crate::codec::PlatformCodec;
use crate::events;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::MemberRow;
use crate::store::StoreClient;

/// Mean delay between attempts to register with the store.
const REGISTER_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Mean delay until a registration that the store rejected as one too many is made again. A row
/// only serves gateways that start later.
const REGISTER_OVERLOAD_DELAY: Duration = Duration::from_secs(4);
/// Timeout of the first attempt to register, doubled with each further one: the store may not
/// respond, or respond slowly and perform attempts that were given up.
const INITIAL_REGISTER_TIMEOUT: Duration = Duration::from_millis(900);
/// Longest timeout of an attempt to register.
const MAX_REGISTER_TIMEOUT: Duration = Duration::from_secs(8);

/// Writes the address at which this gateway receives reports to the store, retrying until it
/// succeeds. The row is the same for each start of the instance, so that writing it twice (after a
/// lost response) changes nothing. The peers' rows are read again afterwards: of two gateways that
/// start together, at least one reads the other's row.
async fn register<C: PlatformCodec>(state: &GatewayState) {
    let row = MemberRow { address: state.settings.peer }.encode(&state.settings.domain);
    let mut timeout = INITIAL_REGISTER_TIMEOUT;
    loop {
        let mut client = StoreClient::<C>::with_timeout(state, timeout);
        match client.put(StoreTable::Members, &state.settings.instance, &row).await {
            Ok(()) => break,
            Err(error) => {
                let delay = match error.is_overload() {
                    true => REGISTER_OVERLOAD_DELAY,
                    false => REGISTER_RETRY_DELAY,
                };
                tracing::info!(
                    event = events::STORE_UNAVAILABLE,
                    table = "members",
                    %error,
                    "cannot register with the store; retrying"
                );
                smol::Timer::after(delay.mul_f64(0.5 + fastrand::f64())).await;
            }
        }
        timeout = (timeout * 2).min(MAX_REGISTER_TIMEOUT);
    }
    state.registered.notify(usize::MAX);
}

/// Registers, and again each time the store comes back from a copy, which may lack the row.
pub(crate) async fn keep_registered<C: PlatformCodec>(state: Arc<GatewayState>) {
    loop {
        let era_changed = state.store_eras.changed.listen();
        register::<C>(&state).await;
        era_changed.await;
    }
}
