//! Claims the one request that may show whether a content is sound.

use super::QuarantineRow;
use super::content_key;
use crate::belief::HeldContent;
use crate::codec::PlatformCodec;
use crate::model::CallContent;
use crate::model::StoreTable;
use crate::state::GatewayState;
use crate::store::FollowError;
use crate::store::StoreClient;

/// True when this gateway may send one request of `content`, which is held back
/// as `held` says.
///
/// Guards against a probe at each of hundreds of gateways, each of which may end
/// a server: who changes the row from the version known to all has claimed the
/// probe, and the others count the wait anew. A claim whose answer is lost is
/// not used.
pub async fn claim_probe<C: PlatformCodec>(
    state: &GatewayState,
    content: CallContent,
    held: HeldContent,
) -> Result<bool, FollowError> {
    let mut client = StoreClient::<C>::new(state.settings.store);
    let probes = held.probes + 1;
    let row = QuarantineRow { probes }.encode();
    let key = content_key(content);
    let claimed = client.claim(StoreTable::Quarantines, &key, &row, held.version).await?;
    if let Some(version) = claimed {
        state.quarantines.note_row(content, probes, version);
    }
    Ok(claimed.is_some())
}
