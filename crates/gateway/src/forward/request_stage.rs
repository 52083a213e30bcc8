//! How far the gateway has come with a caller's request.

use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;

use strum::Display;
use strum::FromRepr;

/// The stages of a request, in their order.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Display, FromRepr)]
#[strum(serialize_all = "snake_case")]
#[repr(u8)]
pub enum RequestStage {
    /// Its head has arrived, its body not completely.
    Receiving,
    /// It is complete, and no server has been sent it.
    Queued,
    /// A server has been sent it.
    Sent,
    /// Its response has been handed to the caller's connection.
    Answering,
}

/// The stage of one request, shared by the tasks that work on it. It never goes back.
#[derive(Debug, Default)]
pub struct RequestProgress {
    /// A [`RequestStage`].
    stage: AtomicU8,
}

impl RequestProgress {
    /// Records that the request has reached `stage`.
    pub fn reach(&self, stage: RequestStage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
    }

    pub fn stage(&self) -> RequestStage {
        let stage = self.stage.load(Ordering::Acquire);
        RequestStage::from_repr(stage).unwrap_or(RequestStage::Answering)
    }
}
