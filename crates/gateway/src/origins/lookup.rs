//! Finds out which version began the stream that a caller takes up.

use std::net::SocketAddr;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use strum::Display;
use umberglade_wire::pool;

use super::software_rows::load_rows;
use crate::cluster::KnownOrigin;
use crate::cluster::StreamDigest;
use crate::cluster::VERSION_RETENTION;
use crate::cluster::stream_digest;
use crate::codec::PlatformCodec;
use crate::events;
use crate::forward::Call;
use crate::model::PinnedVersion;
use crate::model::SoftwareDigest;
use crate::peers::ask_origin;
use crate::state::GatewayState;

/// How long other gateways are waited for: several times what a busy one takes.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);
/// Interval at which a gateway that is joining the others asks again.
const ASK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a stream waits for its gateway to join the others: a store that has just come back is
/// read again within this time.
const MAX_JOIN_WAIT: Duration = Duration::from_secs(1);
/// Waiting ends when the caller's deadline is this close.
const RESPONSE_RESERVE: Duration = Duration::from_millis(200);
/// Maximum number of lookups at other gateways at a time. Ids come from callers, who may invent any
/// number of them.
const MAX_LOOKUPS: usize = 64;

/// Who knew the version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, strum::IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
enum OriginSource {
    /// This gateway.
    Own,
    /// Another gateway.
    Gateway,
    /// A row of the store.
    Store,
    /// The service has had no other version lately, also while no gateway ran.
    SoleVersion,
    /// Nobody.
    Unknown,
    /// Nobody was asked, as too many lookups are in progress.
    Busy,
}

/// Returns the version that began the stream which `call` takes up, if it does. Never guesses.
pub async fn find_version<C: PlatformCodec>(state: &GatewayState, call: &Call) -> PinnedVersion {
    if call.head.resume_after.is_none() && call.head.resumes.is_none() {
        return PinnedVersion::Any;
    }
    let stream = call.head.resumes.as_deref().map(|first| stream_digest(call.organisation, first));
    let (source, version) = find_source::<C>(state, call, stream).await;
    let label: &'static str = source.into();
    metrics::counter!("umberglade_streams_taken_up_total", "source" => label).increment(1);
    tracing::info!(
        event = events::STREAM_TAKEN_UP,
        request_id = call.id(),
        first = call.head.resumes,
        after = call.head.resume_after,
        service = %call.service,
        software = version.map(|version| format!("{version:016x}")),
        source = %source,
        elapsed_ms = call.age_ms(),
        "a caller takes up a stream"
    );
    version.map_or(PinnedVersion::Unknown, PinnedVersion::Known)
}

async fn find_source<C: PlatformCodec>(
    state: &GatewayState,
    call: &Call,
    stream: Option<StreamDigest>,
) -> (OriginSource, Option<SoftwareDigest>) {
    let find_known = || state.origins.known().find(stream?);
    if let Some(known) = find_known() {
        return (OriginSource::Own, version(known));
    }
    if let Some(stream) = stream {
        let Some(_slot) = LookupSlot::take(state) else { return (OriginSource::Busy, None) };
        if let Some(known) = ask_while_joining(state, call, stream).await {
            return (OriginSource::Gateway, version(known));
        }
    }
    let Some(rows) = load_rows::<C>(state).await else { return (OriginSource::Unknown, None) };
    if let Some(known) = find_known() {
        return (OriginSource::Store, version(known));
    }
    // The store may have lost an announcement when it came back from a copy.
    let is_copied = state.store_eras.age().is_some_and(|age| age < VERSION_RETENTION);
    let sole = state.fleet().sole_version(&call.service);
    match sole.filter(|sole| !is_copied && !rows.announces_other(&call.service, *sole)) {
        Some(sole) => (OriginSource::SoleVersion, Some(sole)),
        None => (OriginSource::Unknown, None),
    }
}

fn version(known: KnownOrigin) -> Option<SoftwareDigest> {
    match known {
        KnownOrigin::Version(version) => Some(version),
        KnownOrigin::Contradictory => None,
    }
}

/// Asks the gateways that may know the origin of `stream`, and asks again while this gateway learns
/// which others there are.
///
/// Prevents one that has read the configuration before it knows any other gateway from rejecting
/// streams that all others know.
async fn ask_while_joining(
    state: &GatewayState,
    call: &Call,
    stream: StreamDigest,
) -> Option<KnownOrigin> {
    let call_ends_at = call.deadline.checked_sub(RESPONSE_RESERVE)?;
    let deadline = call_ends_at.min(Instant::now() + MAX_JOIN_WAIT);
    loop {
        if let Some(known) = ask_others(state, stream).await {
            return Some(known);
        }
        let next_at = Instant::now() + ASK_INTERVAL;
        if !state.is_joining(next_at) || next_at >= deadline {
            return None;
        }
        smol::Timer::at(next_at).await;
        if let Some(known) = state.origins.known().find(stream) {
            return Some(known);
        }
    }
}

/// Asks the gateways that may know the origin of `stream`, all at once. Returns the first answer of
/// one that knows it.
async fn ask_others(state: &GatewayState, stream: StreamDigest) -> Option<KnownOrigin> {
    let addresses: Vec<SocketAddr> = state.origins.teller.get()?.may_know(stream);
    let deadline = Instant::now() + ASK_TIMEOUT;
    let (sender, answers) = async_channel::bounded(addresses.len().max(1));
    for address in addresses {
        let sender = sender.clone();
        pool::spawn(async move {
            // A gateway that does not answer, or is of the previous build, does not know.
            let answer = ask_origin(address, stream, deadline).await.ok().flatten();
            // Fails if another gateway has answered first.
            let _ = sender.send(answer).await;
        });
    }
    drop(sender);
    while let Ok(answer) = answers.recv().await {
        if answer.is_some() {
            return answer;
        }
    }
    None
}

/// Counts one lookup while it exists.
struct LookupSlot<'a>(&'a GatewayState);

impl<'a> LookupSlot<'a> {
    fn take(state: &'a GatewayState) -> Option<Self> {
        let slot = LookupSlot(state);
        (state.origins.lookups.fetch_add(1, Ordering::AcqRel) < MAX_LOOKUPS).then_some(slot)
    }
}

impl Drop for LookupSlot<'_> {
    fn drop(&mut self) {
        self.0.origins.lookups.fetch_sub(1, Ordering::AcqRel);
    }
}
