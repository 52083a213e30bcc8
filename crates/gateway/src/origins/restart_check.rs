//! Checks whether a server whose connection broke is still the process that its row describes.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use umberglade_wire::pool;

use crate::cluster::RowVersion;
use crate::codec::PlatformCodec;
use crate::events;
use crate::leader::fetch_report;
use crate::leader::is_same_incarnation;
use crate::model::SoftwareDigest;
use crate::paths::PathConnector;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream::SendTarget;

/// How long a stream waits for the answer of its server.
const ASK_TIMEOUT: Duration = Duration::from_millis(100);

/// Checks the servers at which streams can't go on before it is known, until the process stops.
///
/// Prevents each break of a connection from keeping a sound server from taking up streams until its
/// row is read again.
pub async fn run_restart_checks<C: PlatformCodec>(state: Arc<GatewayState>) {
    while let Ok(target) = state.origins.next_doubted().await {
        let state = Arc::clone(&state);
        pool::spawn(async move {
            check_server::<C>(&state, &target).await;
        });
    }
}

/// What is known of a server's version when a request is sent to it.
#[derive(Debug, Clone, Copy)]
pub struct SentVersion {
    row_version: Option<RowVersion>,
    sent_at: Instant,
}

impl SentVersion {
    /// Returns what is known of the version of `target` now.
    pub fn of(state: &GatewayState, target: &SendTarget) -> Self {
        let row_version = state.fleet().row_version(&target.server, target.incarnation);
        SentVersion { row_version, sent_at: Instant::now() }
    }

    /// Returns the version of the process that has answered for `target` on a connection opened at
    /// `opened_at`, asking it if need be; `None` if it has been started again or may have been.
    ///
    /// A server whose id is never used again has the version of its row, also if that is gone since.
    pub async fn confirm<C: PlatformCodec>(
        self,
        state: &Arc<GatewayState>,
        target: &SendTarget,
        opened_at: Instant,
    ) -> Option<SoftwareDigest> {
        let row_version = self.row_version?;
        if !row_version.may_restart {
            return Some(row_version.software);
        }
        let is_confirmed =
            state.fleet().is_connection_confirmed(&target.server, target.incarnation, opened_at);
        let answering = self.answering_version(state, target);
        if is_confirmed && answering.is_some() {
            return answering;
        }
        let checked = check_server::<C>(state, target);
        let checked = with_deadline(Instant::now() + ASK_TIMEOUT, checked).await;
        match checked {
            Some(CheckedProcess::Another) => None,
            _ => self.answering_version(state, target),
        }
    }

    fn answering_version(
        self,
        state: &GatewayState,
        target: &SendTarget,
    ) -> Option<SoftwareDigest> {
        let fleet = state.fleet();
        fleet.answering_version(&target.server, target.incarnation, self.sent_at, Instant::now())
    }
}

/// Which process answers for an incarnation of a server.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum CheckedProcess {
    /// The one that the row describes.
    Same,
    Another,
    Unknown,
}

async fn check_server<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    target: &SendTarget,
) -> CheckedProcess {
    // A connection from before the break may lead to the process before.
    let target = SendTarget { may_reuse: false, ..target.clone() };
    let asked_at = Instant::now();
    let connector = PathConnector::for_check(state, asked_at + ASK_TIMEOUT);
    // Boxed: the future is large, and every stream that opens contains it.
    let report = Box::pin(fetch_report::<C>(state, &connector, &target)).await;
    let (checked, outcome) = match &report {
        Ok((report, _)) if is_same_incarnation(&target, report.started_at) => {
            state.fleet().confirm_version(&target.server, target.incarnation, asked_at);
            (CheckedProcess::Same, "not started again".to_owned())
        }
        Ok(_) => {
            state.fleet().record_restarted(&target.server, target.incarnation, asked_at);
            (CheckedProcess::Another, "started again".to_owned())
        }
        Err(error) => (CheckedProcess::Unknown, error.to_string()),
    };
    tracing::info!(
        event = events::RESTART_CHECKED,
        server = %target.server,
        peer = %target.address,
        outcome,
        "server asked when it started"
    );
    checked
}
