//! Schedules Poisson arrivals of requests from a seed.

use std::time::Duration;

use crate::workload::RequestClass;
use crate::workload::Workload;

/// One request to send.
#[derive(Debug, Clone, PartialEq)]
pub struct Arrival {
    /// Time of arrival since the start of the run.
    pub due: Duration,
    /// Index into the workload's classes.
    pub class: usize,
    /// Number of the request in the run; makes its prompt and keys unique.
    pub number: u64,
    pub prompt_tokens: u32,
    /// Index of the shared prefix that its prompt begins with.
    pub prefix: u32,
    /// How long after its arrival the caller hangs up, if it does before the response ends.
    pub hangs_up_after: Option<Duration>,
}

/// Returns every arrival of a run of `workload` at `scale`, in order of time.
pub fn schedule(workload: &Workload, scale: f64, seed: u64) -> Vec<Arrival> {
    let mut rng = fastrand::Rng::with_seed(seed);
    let length = workload.seconds as f64;
    let mut arrivals = Vec::new();
    for (index, class) in workload.class.iter().enumerate() {
        let rate = class.rate * scale;
        let mut at = next_gap(&mut rng, rate);
        while at < length {
            arrivals.push(arrival(&mut rng, class, index, at));
            at += next_gap(&mut rng, rate);
        }
    }
    arrivals.sort_by_key(|arrival| arrival.due);
    for (number, arrival) in arrivals.iter_mut().enumerate() {
        arrival.number = number as u64;
    }
    arrivals
}

/// Returns the seconds to the next arrival of a Poisson process of `rate` a second.
fn next_gap(rng: &mut fastrand::Rng, rate: f64) -> f64 {
    -(1.0 - rng.f64()).ln() / rate
}

fn arrival(rng: &mut fastrand::Rng, class: &RequestClass, index: usize, at: f64) -> Arrival {
    let spread = 1.0 + class.prompt_spread * (2.0 * rng.f64() - 1.0);
    let prompt_tokens = (f64::from(class.prompt_tokens) * spread) as u32;
    let hangs_up = rng.f64() < class.cancel_share;
    let hang_up_delay = class.ttft().mul_f64(0.5 * rng.f64());
    Arrival {
        due: Duration::from_secs_f64(at),
        class: index,
        number: 0,
        prompt_tokens: prompt_tokens.max(class.prefix_tokens).max(1),
        prefix: rng.u32(0..class.prefixes),
        hangs_up_after: hangs_up.then_some(hang_up_delay.min(Duration::from_millis(400))),
    }
}
