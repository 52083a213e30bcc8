//! Why a table of the store could not be read.

use http::StatusCode;
use snafu::Snafu;
use umberglade_wire::WireError;

use crate::codec::CodecError;

/// A failed call to the store.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum StoreError {
    /// The exchange failed; the error names step and peer.
    #[snafu(display("{source}"))]
    Exchange { source: WireError },
    /// The store answered with a failure.
    #[snafu(display("the store answered {status}"))]
    Status { status: StatusCode },
    /// Its answer could not be understood.
    #[snafu(display("{source}"))]
    Decode { source: CodecError },
}

impl StoreError {
    /// True when the store no longer has the changes asked for.
    pub fn is_history_expired(&self) -> bool {
        matches!(self, StoreError::Status { status } if *status == StatusCode::GONE)
    }
}
