//! The prefill servers worth choosing: one per failure domain and software version.

use smallvec::SmallVec;

use super::ServerState;
use super::candidate::Candidate;
use crate::model::DomainKey;
use crate::model::ServerKey;

/// Cost of fetching the KV cache from another failure domain, in milliseconds of prefill queue.
/// Such transfers take twice as long, and their traffic is billed.
const CROSS_DOMAIN_TRANSFER_MS: f64 = 120.0;

/// The cheapest prefill server of each failure domain and software version, computed once per placement. The cost of
/// comparing each pair of engines would grow with the square of the site's size.
#[derive(Debug)]
pub(super) struct DomainPrefillServers<'a> {
    cheapest: SmallVec<[(Candidate<'a>, f64); 8]>,
}

impl<'a> DomainPrefillServers<'a> {
    /// Finds the cheapest of `prefill_servers` in each domain and of each version by `cost`.
    pub fn new(prefill_servers: &[Candidate<'a>], cost: impl Fn(&Candidate<'_>) -> f64) -> Self {
        let mut cheapest: SmallVec<[(Candidate<'a>, f64); 8]> = SmallVec::new();
        for prefill_server in prefill_servers {
            let cost = cost(prefill_server);
            let this = prefill_server.server_state;
            let same = |known: &&mut (Candidate<'a>, f64)| {
                let known = known.0.server_state;
                known.software == this.software && known.entry.domain == this.entry.domain
            };
            match cheapest.iter_mut().find(same) {
                Some(known) if cost < known.1 => *known = (*prefill_server, cost),
                Some(_) => {}
                None => cheapest.push((*prefill_server, cost)),
            }
        }
        DomainPrefillServers { cheapest }
    }

    /// Returns the cheapest prefill server for `decode` at which no more than `max_queued_tokens`
    /// are queued, and its cost including the transfer. It has the version of `decode`, which could
    /// not read the KV cache of another.
    pub fn cheapest_for(
        &self,
        decode: &ServerState,
        max_queued_tokens: u32,
    ) -> Option<(&'a ServerKey, f64)> {
        self.cheapest
            .iter()
            .filter(|(prefill_server, _)| prefill_server.server_state.software == decode.software)
            .filter(|(prefill_server, _)| prefill_server.load().prompt_tokens <= max_queued_tokens)
            .map(|(prefill_server, cost)| {
                let entry = &prefill_server.server_state.entry;
                (&entry.server, cost + transfer_cost(&entry.domain, &decode.entry.domain))
            })
            .min_by(|left, right| left.1.total_cmp(&right.1))
    }
}

/// Returns the cost of a transfer between two failure domains, in milliseconds.
pub(super) fn transfer_cost(from: &DomainKey, to: &DomainKey) -> f64 {
    if from == to { 0.0 } else { CROSS_DOMAIN_TRANSFER_MS }
}
