//! Claims the one request that may show whether a content is sound.

use std::time::Instant;

use super::QuarantineRow;
use super::content_key;
use crate::cluster::QuarantineStatus;
use crate::codec::PlatformCodec;
use crate::model::RequestFingerprint;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::FollowError;
use crate::store::StoreClient;

/// True when this gateway may send one request of `content`, which is held back
/// as `held` says.
///
/// Guards against a probe at each of hundreds of gateways, each of which may crash
/// a server: who changes the row from the version known to all has claimed the
/// probe, and the others count the wait anew. A claim whose answer is lost shows
/// by its row later, and is used then.
///
/// The first probe, and those that tell contents apart, are made without a claim while
/// the store is away, by the first of the gateways that hear each other: sound
/// requests held back in the company of fatal ones would wait for the store.
pub async fn claim_probe<C: PlatformCodec>(
    state: &GatewayState,
    content: RequestFingerprint,
    held: QuarantineStatus,
) -> Result<bool, FollowError> {
    let mut client = StoreClient::<C>::new(state.settings.store);
    let probes = held.probes + 1;
    let row = QuarantineRow { probes, claimed_by: state.quarantines.claimant };
    let key = content_key(content);
    match client.claim(StoreTable::Quarantines, &key, &row.encode(), held.version).await {
        Ok(Some(version)) => {
            state.quarantines.note_row(content, row, version);
            state.quarantines.begin_probe(content);
            Ok(true)
        }
        Ok(None) => Ok(false),
        Err(_) if (held.probes == 0 || held.is_undecided) && is_first(state) => {
            state.quarantines.note_unclaimed_probe(content);
            Ok(true)
        }
        Err(error) => {
            state.quarantines.end_claim(content);
            Err(error)
        }
    }
}

fn is_first(state: &GatewayState) -> bool {
    let rank = state.fleet().peers.rank(state.digest, Instant::now());
    rank.peers_before == 0
}
