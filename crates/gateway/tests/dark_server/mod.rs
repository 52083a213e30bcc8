//! A simulated service of which one server is dark for good.

use std::time::Duration;
use std::time::Instant;

use umberglade_gateway::cluster::Fleet;
use umberglade_gateway::cluster::LoadShare;
use umberglade_gateway::cluster::PlacementRequest;
use umberglade_gateway::cluster::ServerOutcome;
use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::cluster::place_plain;
use umberglade_gateway::model::DomainKey;
use umberglade_gateway::model::ServerEntry;
use umberglade_gateway::model::ServerKey;
use umberglade_gateway::model::ServerStage;
use umberglade_gateway::model::StoreStamp;

const DARK: &str = "s0";
const SERVERS: usize = 6;
/// How long a sound server works on a request.
const WORK_TIME: Duration = Duration::from_millis(100);
/// How long a request waits for a server before it is sent to another.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(1200);
/// Length of the first part of a run, in which the server is found to be dark.
const EARLY_TIME: Duration = Duration::from_secs(10);
/// Length of a run.
const RUN_TIME: Duration = Duration::from_secs(60);

/// Requests that the dark server received.
#[derive(Debug, Default)]
pub struct DarkRun {
    /// Within [`EARLY_TIME`].
    pub early: usize,
    /// Afterwards.
    pub late: usize,
}

/// A request at a server.
#[derive(Debug)]
struct RunningRequest {
    server: ServerKey,
    ends_at: Instant,
}

impl DarkRun {
    /// Plays `requests_per_s` at one gateway, to which each request at the dark server ends as
    /// `dark_outcome`.
    pub fn play(requests_per_s: u32, dark_outcome: ServerOutcome) -> DarkRun {
        let start = Instant::now();
        let interval = Duration::from_secs(1) / requests_per_s;
        let mut fleet = fleet();
        let mut running: Vec<RunningRequest> = Vec::new();
        let mut run = DarkRun::default();
        let mut now = start;
        while now < start + RUN_TIME {
            end_requests(&mut fleet, &mut running, dark_outcome, now);
            let server = place(&fleet, now);
            let is_dark = &*server == DARK;
            let work_time = if is_dark { SILENCE_TIMEOUT } else { WORK_TIME };
            fleet.add_load(&server, LoadShare::of_call(), now);
            running.push(RunningRequest { server, ends_at: now + work_time });
            let is_early = now < start + EARLY_TIME;
            run.early += usize::from(is_dark && is_early);
            run.late += usize::from(is_dark && !is_early);
            now += interval;
        }
        run
    }
}

fn fleet() -> Fleet {
    let mut fleet = Fleet::default();
    for at in 0..SERVERS {
        let entry = ServerEntry {
            server: format!("s{at}").as_str().into(),
            service: "svc".into(),
            address: "127.0.0.1:1".parse().unwrap(),
            domain: "own".into(),
            slots: 6,
            stage: ServerStage::Plain,
            software: "v1".into(),
            is_leaving: false,
            started_at: None,
        };
        fleet.upsert(entry, StoreStamp::new(0, at as u64 + 1));
    }
    fleet
}

fn place(fleet: &Fleet, now: Instant) -> ServerKey {
    let domain: DomainKey = "own".into();
    let request = PlacementRequest {
        service: "svc",
        gateway: name_digest("gw-1"),
        domain: &domain,
        tried: &[],
        software: None,
        now,
    };
    place_plain(fleet, &request).expect("a server").server
}

fn end_requests(
    fleet: &mut Fleet,
    running: &mut Vec<RunningRequest>,
    dark_outcome: ServerOutcome,
    now: Instant,
) {
    running.retain(|request| {
        let is_over = request.ends_at <= now;
        if is_over {
            let incarnation = name_digest(&request.server);
            let is_dark = &*request.server == DARK;
            let outcome = if is_dark { dark_outcome } else { ServerOutcome::Fine };
            fleet.remove_load(&request.server, incarnation, LoadShare::of_call());
            fleet.record_outcome(&request.server, incarnation, outcome, now);
        }
        !is_over
    });
}
