//! Claims the single probe that may show whether a quarantined request is harmless.

use std::time::Instant;

use super::QuarantineRow;
use super::fingerprint_key;
use crate::cluster::QuarantineStatus;
use crate::codec::PlatformCodec;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::StoreClient;
use crate::store::StoreError;

/// Returns true if this gateway may send one request that is quarantined as `status` says.
///
/// Prevents a probe at each of hundreds of gateways, each of which may crash a server: the
/// gateway that changes the row from the version known to all has claimed the probe, and
/// the others restart the probe delay. When the response to a claim is lost,
/// the row shows the claim later, and the probe is sent then.
///
/// While the store is unavailable, the first probe and those that distinguish fingerprints
/// are made without a claim, by the gateway that is first among those that receive each
/// other's reports: harmless requests quarantined together with poison ones would otherwise wait
/// for the store.
pub async fn claim_probe<C: PlatformCodec>(
    state: &GatewayState,
    status: QuarantineStatus,
) -> Result<bool, StoreError> {
    let mut client = StoreClient::<C>::new(state);
    let QuarantineStatus { fingerprint, .. } = status;
    let probes = status.probes + 1;
    let row = QuarantineRow { probes, claimed_by: state.quarantines.claimant };
    let key = fingerprint_key(fingerprint);
    match client.claim(StoreTable::Quarantines, &key, &row.encode(), status.stamp).await {
        Ok(Some(stamp)) => {
            state.quarantines.apply_row(fingerprint, row, stamp);
            state.quarantines.begin_probe(fingerprint);
            Ok(true)
        }
        Ok(None) => {
            state.quarantines.fail_claim(fingerprint);
            Ok(false)
        }
        Err(_) if (status.probes == 0 || status.is_provisional) && is_first_gateway(state) => {
            state.quarantines.begin_unclaimed_probe(fingerprint);
            Ok(true)
        }
        Err(error) => {
            state.quarantines.fail_claim(fingerprint);
            Err(error)
        }
    }
}

fn is_first_gateway(state: &GatewayState) -> bool {
    let rank = state.fleet().peers.rank(state.digest, Instant::now());
    rank.peers_before == 0
}
