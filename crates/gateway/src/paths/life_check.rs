//! Finds out whether the process of a server lives on after an answer has ended with its connection.

use std::sync::Arc;
use std::time::Duration;
use std::time::Instant;

use strum::IntoStaticStr;
use umberglade_wire::pool;

use super::LifeStep;
use super::PathConnector;
use super::locate_failure;
use crate::cluster::PathVerdict;
use crate::codec::PlatformCodec;
use crate::events;
use crate::leader::fetch_start;
use crate::leader::is_same_incarnation;
use crate::state::GatewayState;
use crate::timing::with_deadline;
use crate::upstream::SendTarget;

/// How long one question waits for a connection.
const ASK_TIMEOUT: Duration = Duration::from_millis(400);
/// Pause before a server that gave no answer is asked again.
const ASK_INTERVAL: Duration = Duration::from_millis(20);

/// Whether the process that answered for an incarnation of a server lives on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum ProcessLife {
    Alive,
    /// It refuses connections, or another process answers at its address.
    Ended,
}

/// Returns the name of what a question has found, for logs and metrics.
pub fn life_label(life: Option<ProcessLife>) -> &'static str {
    life.map_or("unknown", ProcessLife::into)
}

/// Returns whether the process of `target` has lived on since `ended_at`; `None` if that is not known
/// at `deadline`.
///
/// A server that is silent or resets connections may live: it is asked again.
pub async fn find_life<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    target: &SendTarget,
    ended_at: Instant,
    deadline: Instant,
) -> Option<ProcessLife> {
    let found = async {
        loop {
            let checked = state.life_checked.listen();
            let step = state.life_checks.lock().begin(target.incarnation, ended_at, Instant::now());
            match step {
                LifeStep::Known(life) => return life,
                LifeStep::Begin => {
                    // Goes on if the caller leaves meanwhile: others may wait for its end.
                    pool::spawn(check_life::<C>(Arc::clone(state), target.clone()));
                }
                LifeStep::Wait => {}
            }
            checked.await;
        }
    };
    with_deadline(deadline, found).await
}

async fn check_life<C: PlatformCodec>(state: Arc<GatewayState>, target: SendTarget) {
    let life = ask_life::<C>(&state, &target).await;
    if life.is_none() {
        smol::Timer::after(ASK_INTERVAL).await;
    }
    state.life_checks.lock().end(target.incarnation, life);
    state.life_checked.notify(usize::MAX);
}

/// Asks the process at the address of `target` for its report, which it answers without a slot. By
/// the header that names `target`, another server rejects the question; by its start, a process that
/// was started again under the same id is another one.
async fn ask_life<C: PlatformCodec>(
    state: &Arc<GatewayState>,
    target: &SendTarget,
) -> Option<ProcessLife> {
    let asked_at = Instant::now();
    let connector = PathConnector::for_check(state, asked_at + ASK_TIMEOUT);
    let start = Box::pin(fetch_start::<C>(state, &connector, target)).await;
    let (life, problem) = match start {
        Ok((started_at, connection)) => {
            let is_same = is_same_incarnation(target, started_at);
            if is_same {
                state.pool.put(target, connection, None, Instant::now());
            }
            (Some(if is_same { ProcessLife::Alive } else { ProcessLife::Ended }), None)
        }
        Err(error) if error.is_of_another_server() => (Some(ProcessLife::Ended), Some(error)),
        Err(error) if error.is_answer() => (Some(ProcessLife::Alive), Some(error)),
        Err(error) if error.is_refusal() => {
            let verdict = locate_failure(state, target, asked_at).await;
            let is_down = verdict == PathVerdict::ServerDown;
            (is_down.then_some(ProcessLife::Ended), Some(error))
        }
        Err(error) => (None, Some(error)),
    };
    let outcome = life_label(life);
    metrics::counter!("umberglade_life_checks_total", "outcome" => outcome).increment(1);
    tracing::info!(
        event = events::LIFE_CHECKED,
        server = %target.server,
        peer = %target.address,
        outcome,
        problem = problem.map(|error| error.to_string()),
        elapsed_ms = asked_at.elapsed().as_millis() as u64,
        "server asked whether its process lives on"
    );
    life
}
