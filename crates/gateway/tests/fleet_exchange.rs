//! Simulates what hundreds to thousands of gateways without work tell each other, over a network
//! that loses and delays datagrams.

use std::collections::BTreeMap;
use std::time::Duration;

use umberglade_gateway::cluster::GOSSIP_INTERVAL;
use umberglade_gateway::cluster::NoticeRelay;
use umberglade_gateway::cluster::PeerReach;
use umberglade_gateway::cluster::QUIET_REPORT_INTERVAL;
use umberglade_gateway::cluster::ReadCost;
use umberglade_gateway::cluster::RelayedNotice;
use umberglade_gateway::cluster::gateway_groups;
use umberglade_gateway::cluster::name_digest;
use umberglade_gateway::cluster::report_interval;
use umberglade_gateway::cluster::shares_shard;
use umberglade_gateway::model::StoreStamp;
use umberglade_gateway::model::StoreTable;

/// Size of a report without notices and of a notice, with the headers of IP and UDP.
const REPORT_BYTES: usize = 140;
const NOTICE_BYTES: usize = 40;
/// Interval between two reads of a reader, of which there are three for each of three tables.
const READ_INTERVAL: Duration = Duration::from_millis(1500);
const TABLES: [StoreTable; 3] =
    [StoreTable::Configuration, StoreTable::Servers, StoreTable::Quarantines];
const READERS: usize = 3;
const RUN_LENGTH: Duration = Duration::from_secs(8);
const STEP: Duration = Duration::from_millis(10);
/// Half of a bound of five seconds within which changes must be known everywhere; notices must
/// arrive while a read counts as fresh.
const MAX_DELAY: Duration = Duration::from_millis(2500);
/// Largest control traffic of an idle gateway, in bytes per second.
const MAX_BYTES_PER_S: f64 = 8000.0;

struct ExchangeCase {
    name: &'static str,
    gateways: usize,
    /// Fraction of datagrams lost.
    loss: f64,
    /// Fraction of gateways that have just died, of which nobody knows yet.
    dead: f64,
}

/// A read, by its table, its reader and its number.
type ReadKey = (StoreTable, u64, u64);

struct SimulatedGateway {
    digest: u64,
    relay: NoticeRelay,
    is_alive: bool,
    /// When each read became known here.
    known: BTreeMap<ReadKey, Duration>,
    next_tick: Duration,
    next_gossip: Duration,
    next_quiet: Duration,
    sent_bytes: usize,
}

struct InFlight {
    to: usize,
    reach: PeerReach,
    notices: Vec<RelayedNotice>,
}

struct Simulation {
    random: fastrand::Rng,
    loss: f64,
    shards: u64,
    gateways: Vec<SimulatedGateway>,
    /// Indices of the gateways of each shard.
    groups: BTreeMap<u64, Vec<usize>>,
    in_flight: BTreeMap<Duration, Vec<InFlight>>,
    read_at: BTreeMap<ReadKey, Duration>,
}

impl Simulation {
    fn new(case: &ExchangeCase) -> Self {
        let mut random = fastrand::Rng::with_seed(case.gateways as u64);
        let shards = gateway_groups(case.gateways);
        let mut groups: BTreeMap<u64, Vec<usize>> = BTreeMap::new();
        let mut gateways = Vec::new();
        for index in 0..case.gateways {
            let digest = name_digest(&format!("front-{index}"));
            groups.entry(digest & (shards - 1)).or_default().push(index);
            let after =
                |random: &mut fastrand::Rng, interval: Duration| interval.mul_f64(random.f64());
            gateways.push(SimulatedGateway {
                digest,
                relay: NoticeRelay::default(),
                // The readers are the first ones.
                is_alive: index < READERS || random.f64() >= case.dead,
                known: BTreeMap::new(),
                next_tick: after(&mut random, report_interval(case.gateways)),
                next_gossip: after(&mut random, GOSSIP_INTERVAL),
                next_quiet: after(&mut random, QUIET_REPORT_INTERVAL),
                sent_bytes: 0,
            });
        }
        let (loss, read_at) = (case.loss, BTreeMap::new());
        let in_flight = BTreeMap::new();
        Simulation { random, loss, shards, gateways, groups, in_flight, read_at }
    }

    fn send(&mut self, to: usize, reach: PeerReach, notices: Vec<RelayedNotice>, now: Duration) {
        if notices.is_empty() || self.random.f64() < self.loss {
            return;
        }
        let arrives_at = now + STEP + Duration::from_millis(self.random.u64(0..20));
        self.in_flight.entry(arrives_at).or_default().push(InFlight { to, reach, notices });
    }

    fn read(&mut self, reader: usize, sequence: u64, now: Duration) {
        for table in TABLES {
            let digest = self.gateways[reader].digest;
            let notice = RelayedNotice {
                table,
                reader: digest,
                incarnation: 1,
                sequence,
                fingerprint: sequence,
                age_ms: 0,
                cost: ReadCost::LIGHT,
                through: StoreStamp::new(0, sequence),
            };
            self.gateways[reader].relay.record_local(notice, now);
            self.gateways[reader].known.insert((table, digest, sequence), now);
            self.read_at.insert((table, digest, sequence), now);
        }
    }

    fn deliver(&mut self, now: Duration) {
        while let Some(entry) = self.in_flight.first_entry()
            && *entry.key() <= now
        {
            for InFlight { to, reach, notices } in entry.remove() {
                let gateway = &mut self.gateways[to];
                for notice in notices {
                    let key = (notice.table, notice.reader, notice.sequence);
                    if gateway.relay.record(notice, reach, now) {
                        gateway.known.entry(key).or_insert(now);
                    }
                }
            }
        }
    }

    fn report(&mut self, index: usize, now: Duration) {
        let shard = self.gateways[index].digest & (self.shards - 1);
        let group = self.groups[&shard].clone();
        let gateway = &mut self.gateways[index];
        if now >= gateway.next_tick {
            gateway.next_tick = now + report_interval(group.len());
            let notices = gateway.relay.take_for_group(now);
            if !notices.is_empty() || now >= gateway.next_quiet {
                gateway.next_quiet = now + QUIET_REPORT_INTERVAL;
                let bytes = REPORT_BYTES + NOTICE_BYTES * notices.len();
                gateway.sent_bytes += bytes * (group.len() - 1);
                for peer in group.into_iter().filter(|peer| *peer != index) {
                    self.send(peer, PeerReach::Near, notices.clone(), now);
                }
            }
        }
        let gateway = &mut self.gateways[index];
        if now >= gateway.next_gossip {
            gateway.next_gossip = now + GOSSIP_INTERVAL;
            let notices = gateway.relay.for_remote(now);
            gateway.sent_bytes += REPORT_BYTES + NOTICE_BYTES * notices.len();
            let peer = self.random.usize(..self.gateways.len());
            let is_remote =
                !shares_shard(self.gateways[peer].digest, self.gateways[index].digest, self.shards);
            if is_remote {
                self.send(peer, PeerReach::Far, notices, now);
            }
        }
    }

    fn run(&mut self) {
        let mut now = Duration::ZERO;
        while now < RUN_LENGTH {
            for reader in 0..READERS {
                let offset = READ_INTERVAL / READERS as u32 * reader as u32;
                let since = now.checked_sub(offset);
                let is_due =
                    |since: Duration| since.as_millis().is_multiple_of(READ_INTERVAL.as_millis());
                if let Some(since) = since.filter(|since| is_due(*since)) {
                    let sequence = since.div_duration_f64(READ_INTERVAL) as u64 + 1;
                    self.read(reader, sequence, now);
                }
            }
            self.deliver(now);
            for index in 0..self.gateways.len() {
                if self.gateways[index].is_alive {
                    self.report(index, now);
                }
            }
            now += STEP;
        }
    }

    /// Returns the delays, sorted, after which each live gateway knew each read, or a later one of
    /// its reader. Reads near the end of the run are left out.
    fn delays(&self) -> Vec<Duration> {
        let mut delays = Vec::new();
        for ((table, reader, sequence), read_at) in &self.read_at {
            if *read_at + MAX_DELAY > RUN_LENGTH {
                continue;
            }
            for gateway in self.gateways.iter().filter(|gateway| gateway.is_alive) {
                let later = (*table, *reader, *sequence)..=(*table, *reader, u64::MAX);
                let known_at = gateway.known.range(later).map(|(_, at)| *at).min();
                delays.push(known_at.map_or(Duration::MAX, |at| at.saturating_sub(*read_at)));
            }
        }
        delays.sort_unstable();
        delays
    }

    fn bytes_per_s(&self) -> f64 {
        let live = self.gateways.iter().filter(|gateway| gateway.is_alive);
        let sent: usize = live.clone().map(|gateway| gateway.sent_bytes).sum();
        sent as f64 / live.count() as f64 / RUN_LENGTH.as_secs_f64()
    }
}

fn run(case: &ExchangeCase) {
    let mut simulation = Simulation::new(case);
    simulation.run();
    let delays = simulation.delays();
    let at = |fraction: f64| delays[((delays.len() - 1) as f64 * fraction) as usize];
    let bytes = simulation.bytes_per_s();
    println!(
        "{:32} {:5} gateways, {:2} groups: {bytes:6.0} B/s each, known after {:?} {:?} {:?}",
        case.name,
        case.gateways,
        simulation.shards,
        at(0.5),
        at(0.99),
        at(1.0),
    );
    assert!(at(1.0) < MAX_DELAY, "{}: known everywhere after {:?}", case.name, at(1.0));
    assert!(bytes < MAX_BYTES_PER_S, "{}: {bytes:.0} bytes a second", case.name);
}

/// Prevents what gateways tell each other from growing with their number, as it did when each told
/// all others once a second, and reads of the store from being known late at some of them, which
/// would then read it themselves.
#[test]
fn reads_are_known_everywhere_at_a_constant_cost() {
    let base = ExchangeCase { name: "calm", gateways: 986, loss: 0.0, dead: 0.0 };
    let cases = [
        ExchangeCase { name: "300", gateways: 300, ..base },
        ExchangeCase { name: "a tenth of the datagrams lost", loss: 0.1, ..base },
        ExchangeCase { name: "three in ten datagrams lost", loss: 0.3, ..base },
        ExchangeCase { name: "a third of the gateways dead", dead: 0.33, ..base },
        ExchangeCase { name: "twice the size", gateways: 2000, ..base },
        base,
    ];
    cases.iter().for_each(run);
}
