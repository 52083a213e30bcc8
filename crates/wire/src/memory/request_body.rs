//! Reads the body of a request into one buffer of about its size.

use bytes::Bytes;
use futures_lite::FutureExt;
use http_body_util::BodyExt;
use hyper::body::Body;
use snafu::Snafu;

use super::connection_share::ConnectionShare;
use super::connection_share::MemoryFull;
use super::connection_share::MemoryGrant;
use super::draw::BudgetBound;

/// Size of a buffer that begins to be filled.
const FIRST_CAPACITY: usize = 4 * 1024;

/// Why a body was not read to its end.
#[derive(Debug, Snafu)]
pub enum RequestBodyError {
    #[snafu(display("the body is longer than {limit} bytes"))]
    TooLarge { limit: usize },
    #[snafu(display("reading the body: {source}"))]
    Broken { source: hyper::Error },
    /// Nothing of the request has run.
    #[snafu(display("{source}"))]
    NoMemory { source: MemoryFull },
}

/// A whole body, and its part of the budget.
#[derive(Debug)]
pub struct HeldBody {
    pub bytes: Bytes,
    /// Held as long as `bytes` are.
    pub grant: MemoryGrant,
}

/// Reads `body`, up to `limit` bytes, as far as the budget of `share` has room for it.
pub async fn read_body<B>(
    share: &ConnectionShare,
    mut body: B,
    limit: usize,
) -> Result<HeldBody, RequestBodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let stated = body.size_hint();
    if stated.lower() > limit as u64 {
        return Err(RequestBodyError::TooLarge { limit });
    }
    let most = stated.exact().map_or(limit, |length| length as usize);
    let mut buffer = Vec::new();
    let mut grant = share.empty_grant();
    while let Some(frame) = next_frame(share, &mut body).await? {
        let frame = frame.map_err(|source| RequestBodyError::Broken { source })?;
        // Trailers are not passed on.
        let Ok(data) = frame.into_data() else { continue };
        let length = buffer.len() + data.len();
        if length > limit {
            return Err(RequestBodyError::TooLarge { limit });
        }
        if length > buffer.capacity() {
            let doubled = buffer.capacity().saturating_mul(2).max(FIRST_CAPACITY);
            let capacity = doubled.min(most).max(length);
            let grown = grant.grow(capacity).await;
            grown.map_err(|source| RequestBodyError::NoMemory { source })?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
        share.record_received(data.len());
    }
    buffer.shrink_to_fit();
    grant.shrink(buffer.len());
    Ok(HeldBody { bytes: buffer.into(), grant })
}

/// Returns the next frame of `body`, unless its connection is asked to make room.
async fn next_frame<B>(
    share: &ConnectionShare,
    body: &mut B,
) -> Result<Option<Result<hyper::body::Frame<Bytes>, hyper::Error>>, RequestBodyError>
where
    B: Body<Data = Bytes, Error = hyper::Error> + Unpin,
{
    let evicted = async {
        share.wait_evicted().await;
        Err(RequestBodyError::NoMemory { source: MemoryFull { bound: BudgetBound::Evicted } })
    };
    async { Ok(body.frame().await) }.or(evicted).await
}
