//! A gateway that is out of step while servers of a new software version join: streams that began at
//! these through other gateways are taken up at it.

mod support;

use std::collections::BTreeSet;
use std::io::Read;
use std::io::Write;
use std::net::TcpStream;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use support::gateway::Gateway;
use support::gateway::HANG_TIMEOUT;
use support::gateway::settings_text;
use umberglade_platform_standin::FaultyLink;
use umberglade_platform_standin::LinkCut;
use umberglade_platform_standin::ServerOptions;
use umberglade_platform_standin::Site;
use umberglade_platform_standin::Stage;
use umberglade_platform_standin::StoreProxy;
use umberglade_wire::pool;

const GATEWAYS: usize = 3;
/// Streams of a new version that a case takes up, half of them while the gateway is out of step.
const STREAMS: usize = 8;
/// Events that a caller reads before it leaves the gateway at which its stream began.
const FIRST_EVENTS: usize = 2;
/// Longer than started gateways take to hear each other and to spend their first retry window.
const JOIN_TIME: Duration = Duration::from_secs(2);
/// How long take-ups wait at the gateway before it gets into step again: longer than one that runs
/// waits for what it does not know.
const WAIT_TIME: Duration = Duration::from_secs(2);
/// Pause before a stream that was not run is taken up once more.
const RETRY_PAUSE: Duration = Duration::from_millis(1200);
/// Where gateways learn of each other.
const MEMBER_TABLE: &str = "umberglade-members";
const V1: &str = "v1";
const V2: &str = "v2";

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Disturbance {
    /// The process stands still.
    Paused,
    /// It gets no answer from the store, and hears the other gateways.
    WithoutStore,
    /// It gets no answer from the store, and stands still.
    PausedWithoutStore,
}

#[derive(Debug, Clone, Copy)]
struct OutOfStepCase {
    disturbance: Disturbance,
    /// The gateway that is out of step.
    at: usize,
    /// How long it has been so when the servers join.
    before: Duration,
    /// True if the others are killed after the streams began, so that it can't ask them.
    others_end: bool,
    /// True if no gateway ever hears another.
    is_alone: bool,
}

/// A gateway that stands still while the others live.
const PAUSED: OutOfStepCase = OutOfStepCase {
    disturbance: Disturbance::Paused,
    at: 0,
    before: Duration::ZERO,
    others_end: false,
    is_alone: false,
};
const WITHOUT_STORE: OutOfStepCase =
    OutOfStepCase { disturbance: Disturbance::WithoutStore, ..PAUSED };
const PAUSED_WITHOUT_STORE: OutOfStepCase =
    OutOfStepCase { disturbance: Disturbance::PausedWithoutStore, ..PAUSED };

const CASES: [OutOfStepCase; 16] = [
    PAUSED,
    OutOfStepCase { at: 1, before: Duration::from_secs(1), ..PAUSED },
    OutOfStepCase { at: 2, before: Duration::from_secs(3), ..PAUSED },
    OutOfStepCase { others_end: true, ..PAUSED },
    OutOfStepCase { at: 2, before: Duration::from_secs(3), others_end: true, ..PAUSED },
    WITHOUT_STORE,
    OutOfStepCase { at: 1, before: Duration::from_secs(3), ..WITHOUT_STORE },
    OutOfStepCase { at: 2, others_end: true, ..WITHOUT_STORE },
    OutOfStepCase { at: 1, ..PAUSED_WITHOUT_STORE },
    OutOfStepCase { others_end: true, ..PAUSED_WITHOUT_STORE },
    OutOfStepCase { is_alone: true, ..PAUSED },
    OutOfStepCase { is_alone: true, before: Duration::from_secs(3), ..PAUSED },
    OutOfStepCase { is_alone: true, ..WITHOUT_STORE },
    OutOfStepCase { is_alone: true, before: Duration::from_secs(3), ..WITHOUT_STORE },
    OutOfStepCase { is_alone: true, ..PAUSED_WITHOUT_STORE },
    OutOfStepCase { is_alone: true, before: Duration::from_secs(3), ..PAUSED_WITHOUT_STORE },
];

/// What a test asks of the thread of its site.
enum SiteCommand {
    /// Servers of [`V2`] join.
    Release,
    CutFromStore(usize, Option<LinkCut>),
}

/// A site on a thread of this process, whose store each gateway reaches by its own link.
struct ReleaseSite {
    stores: Vec<String>,
    commands: mpsc::Sender<SiteCommand>,
    done: mpsc::Receiver<()>,
}

impl ReleaseSite {
    /// Starts a site, whose gateways never hear each other if each `is_alone`.
    fn start(is_alone: bool) -> ReleaseSite {
        let (commands, received) = mpsc::channel();
        let (finished, done) = mpsc::channel();
        let (sender, stores) = mpsc::channel();
        thread::spawn(move || {
            pool::block_on(async move {
                let desk = [("desk", Stage::Plain)];
                let mut site = Site::start_with(&desk, ServerOptions::default()).await;
                add_servers(&mut site, V1).await;
                let mut links = Vec::new();
                for _ in 0..GATEWAYS {
                    let (proxy, store) = StoreProxy::start(&site.store).await;
                    if is_alone {
                        proxy.reject_reads(MEMBER_TABLE);
                    }
                    links.push(FaultyLink::start(store).await.expect("a free port"));
                }
                let addresses = links.iter().map(|link| link.address.to_string()).collect();
                sender.send(addresses).expect("a waiting test");
                let mut received = received;
                loop {
                    let next = smol::unblock(move || (received.recv(), received)).await;
                    let Ok(command) = next.0 else { return };
                    received = next.1;
                    match command {
                        SiteCommand::Release => add_servers(&mut site, V2).await,
                        SiteCommand::CutFromStore(at, cut) => links[at].set_cut(cut),
                    }
                    finished.send(()).expect("a waiting test");
                }
            });
        });
        let stores = stores.recv_timeout(HANG_TIMEOUT).expect("a started site");
        ReleaseSite { stores, commands, done }
    }

    fn command(&self, command: SiteCommand) {
        self.commands.send(command).expect("a running site");
        self.done.recv_timeout(HANG_TIMEOUT).expect("a running site");
    }

    fn start_gateways(&self) -> Vec<Gateway> {
        let numbered = self.stores.iter().enumerate();
        let gateways = numbered.map(|(at, store)| {
            let settings =
                settings_text(store).replace("nodeName: gw", &format!("nodeName: gw-{at}"));
            Gateway::start_from(&format!("step-{store}"), &settings, &["--log-lines", "400"], "")
        });
        gateways.collect()
    }
}

async fn add_servers(site: &mut Site, software: &str) {
    let servers =
        [("decode-a", Stage::Decode), ("decode-b", Stage::Decode), ("prefill", Stage::Prefill)];
    for (name, stage) in servers {
        let options = ServerOptions {
            events: 6,
            step_delay: Duration::from_millis(10),
            software: Some(software.to_owned()),
            ..ServerOptions::default()
        };
        site.add_server(&format!("{name}-{software}"), stage, options).await;
    }
}

/// A stream that its caller has left, and what it has brought.
#[derive(Debug)]
struct LeftStream {
    first: String,
    text: String,
}

/// Sends a request for a stream, with further header lines.
fn send(front: &str, id: &str, more: &str) -> TcpStream {
    let mut stream = TcpStream::connect(front).expect("a listening gateway");
    stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("an open connection");
    let request = format!(
        "POST /resumed/x HTTP/1.1\r\nhost: site.example\r\nx-request-id: {id}\r\nx-timeout-ms: \
         6000\r\nx-token-usage: 1000,400\r\nconnection: close\r\n{more}content-length: 0\r\n\r\n"
    );
    stream.write_all(request.as_bytes()).expect("an open connection");
    stream
}

/// Reads an answer to its end, or until it has brought `events` events.
fn read(stream: &mut TcpStream, events: usize) -> String {
    let mut received = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&received).into_owned();
        if text.matches("\ndata: ").count() >= events {
            return text;
        }
        match stream.read(&mut buffer).expect("an answer") {
            0 => return text,
            count => received.extend_from_slice(&buffer[..count]),
        }
    }
}

/// Returns the versions that wrote the events of `text`, or the caches that they follow from.
fn versions_of(text: &str) -> BTreeSet<String> {
    let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
    data.flat_map(|event| event.split(['@', '+']).skip(1).map(str::to_owned)).collect()
}

/// Begins streams at `gateways` until [`STREAMS`] of them were begun by servers of [`V2`].
fn begin_streams(gateways: &[&Gateway]) -> Vec<LeftStream> {
    let deadline = Instant::now() + HANG_TIMEOUT;
    let mut streams = Vec::new();
    for number in 0.. {
        if streams.len() == STREAMS {
            break;
        }
        assert!(Instant::now() < deadline, "no streams of the new version");
        let first = format!("first-{number}");
        let mut connection = send(&gateways[number % gateways.len()].front, &first, "");
        let text = read(&mut connection, FIRST_EVENTS);
        if versions_of(&text) == BTreeSet::from([V2.to_owned()]) {
            streams.push(LeftStream { first, text });
        }
    }
    streams
}

/// Sends a request that takes `stream` up.
fn send_take_up(front: &str, id: &str, stream: &LeftStream) -> TcpStream {
    let more = format!("last-event-id: {FIRST_EVENTS}\r\nresumes: {}\r\n", stream.first);
    send(front, id, &more)
}

/// Returns the status of `answer`; fails if it goes on with `stream` at another version.
fn check(stream: &LeftStream, answer: &str) -> Result<u16, String> {
    let status = answer.split(' ').nth(1).and_then(|status| status.parse().ok());
    let mut versions = versions_of(&stream.text);
    versions.extend(versions_of(answer));
    match status {
        Some(status) if versions.len() == 1 => Ok(status),
        _ => Err(format!("{stream:?} goes on with {answer:?}")),
    }
}

/// Takes `streams` up at `front` and, once, those again that were not run. Returns how many went on.
fn take_up_again(front: &str, streams: &[LeftStream]) -> Result<usize, String> {
    let mut gone_on = 0;
    for stream in streams {
        let retries = [None, Some(RETRY_PAUSE)].into_iter().enumerate();
        for (retry, pause) in retries {
            thread::sleep(pause.unwrap_or_default());
            let id = format!("late-{}-{retry}", stream.first);
            let answer = read(&mut send_take_up(front, &id, stream), usize::MAX);
            if check(stream, &answer)? == 200 {
                gone_on += 1;
                break;
            }
        }
    }
    Ok(gone_on)
}

impl OutOfStepCase {
    /// Returns how many of the streams went on.
    fn run(self) -> Result<usize, String> {
        let site = ReleaseSite::start(self.is_alone);
        let gateways = site.start_gateways();
        thread::sleep(JOIN_TIME);
        let front = gateways[self.at].front.as_str();
        let others = gateways.iter().enumerate().filter(|(at, _)| *at != self.at);
        let others: Vec<&Gateway> = others.map(|(_, gateway)| gateway).collect();
        self.set_disturbed(&site, &gateways, true);
        thread::sleep(self.before);
        site.command(SiteCommand::Release);
        let streams = begin_streams(&others);
        if self.others_end {
            others.iter().for_each(|gateway| gateway.signal("-KILL"));
        }
        let (early, late) = streams.split_at(STREAMS / 2);
        let numbered = early.iter().enumerate();
        let mut waiting: Vec<_> = numbered
            .map(|(at, stream)| (stream, send_take_up(front, &format!("early-{at}"), stream)))
            .collect();
        thread::sleep(WAIT_TIME);
        self.set_disturbed(&site, &gateways, false);
        let mut gone_on = take_up_again(front, late)?;
        for (stream, connection) in &mut waiting {
            gone_on += usize::from(check(stream, &read(connection, usize::MAX))? == 200);
        }
        Ok(gone_on)
    }

    fn set_disturbed(self, site: &ReleaseSite, gateways: &[Gateway], is_disturbed: bool) {
        if self.disturbance != Disturbance::Paused {
            let cut = is_disturbed.then_some(LinkCut::Hang);
            site.command(SiteCommand::CutFromStore(self.at, cut));
        }
        if self.disturbance != Disturbance::WithoutStore {
            gateways[self.at].signal(if is_disturbed { "-STOP" } else { "-CONT" });
        }
    }
}

/// Prevents a gateway that stood still, or heard nothing of the store, while servers of a new version
/// joined from going on at another version with streams that these began.
#[test]
fn a_gateway_out_of_step_joins_no_versions() {
    thread::scope(|scope| {
        let runs: Vec<_> = CASES.iter().map(|case| (case, scope.spawn(|| case.run()))).collect();
        for (case, run) in runs {
            match run.join().expect("a case") {
                Ok(gone_on) => println!("{case:?}: {gone_on} of {STREAMS} went on"),
                Err(problem) => panic!("{case:?}: {problem}"),
            }
        }
    });
}
