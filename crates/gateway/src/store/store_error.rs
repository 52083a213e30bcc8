//! Errors of calls to the store.

use http::StatusCode;
use snafu::Snafu;
use umberglade_wire::WireError;

use crate::codec::CodecError;

/// Error of a call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The HTTP exchange failed; the source names the step and the peer.
    #[snafu(display("{source}"))]
    Exchange { source: WireError },
    /// The store responded with an error status.
    #[snafu(display("the store responded with status {status}"))]
    Status { status: StatusCode },
    /// A call has got no response yet; it goes on, and another one has been started.
    #[snafu(display("no response yet; another call was started"))]
    Late,
    /// The store's response could not be decoded.
    #[snafu(display("{source}"))]
    Decode { source: CodecError },
}

impl StoreError {
    /// Returns true if the store rejected the call because there are too many.
    pub fn is_overload(&self) -> bool {
        matches!(self, StoreError::Status { status } if *status == StatusCode::TOO_MANY_REQUESTS)
    }

    /// Returns true if the store does not keep the requested changes any more, so that the table
    /// must be listed again.
    pub fn is_history_expired(&self) -> bool {
        matches!(self, StoreError::Status { status } if *status == StatusCode::GONE)
    }
}
