//! Crowds of callers that do not behave, at `umberglade gateway` as a process with small limits: it
//! lives, stays within its memory and descriptors, and answers an ordinary request beside the crowd
//! and after it.
//!
//! The sizes of the crowds and the limits go together: what a crowd sends is more than the memory.

mod support;

use std::net::SocketAddr;
use std::process::Child;
use std::sync::Arc;
use std::sync::mpsc;
use std::thread;
use std::time::Duration;
use std::time::Instant;

use serde_json::json;
use support::crowd::Crowd;
use support::crowd::CrowdRequest;
use support::crowd::chunks;
use support::crowd_check::CrowdTarget;
use support::crowd_check::check_crowds;
use support::crowd_check::one_at_a_time;
use support::gateway::Gateway;
use support::gateway::HANG_TIMEOUT;
use support::gateway::agent;
use support::gateway::settings_text;
use support::process_use::ProcessLimits;
use support::process_use::ProcessUse;
use umberglade_platform_standin::DEFAULT_SERVERS;
use umberglade_platform_standin::EndlessPart;
use umberglade_platform_standin::ServerOptions;
use umberglade_platform_standin::ServerStandin;
use umberglade_platform_standin::Site;
use umberglade_platform_standin::SiteConfig;
use umberglade_platform_standin::Stage;
use umberglade_wire::pool;

/// Limits of the processes under test.
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 48, max_fds: 700 };
/// `maxBodyBytes` of the site.
const MAX_BODY_BYTES: usize = 1 << 20;
/// Members of a crowd with bodies of that size: 67 MB.
const BODY_CROWD: usize = 64;
/// Members of a crowd with bodies in chunks of one byte.
const TINY_CHUNK_CROWD: usize = 150;
/// Size of such a body.
const TINY_CHUNK_BODY_BYTES: usize = 64 * 1024;
/// Bytes of a body over the limit that is not announced.
const OVERSIZED_BODY_BYTES: usize = 4 * MAX_BODY_BYTES;
/// Members of a crowd with unfinished heads, or that only connect: more than there are sockets.
const CONNECTION_CROWD: usize = 600;
/// Bytes of an unfinished head, more than `maxHeaderBytes`.
const UNFINISHED_HEAD_BYTES: usize = 60 * 1024;
/// Members of a crowd with streams, fewer than the engines have slots.
const STREAM_CROWD: usize = 60;
/// Decode servers for such a crowd, of 16 slots each.
const MANY_DECODERS: [&str; 6] = ["d-1", "d-2", "d-3", "d-4", "d-5", "d-6"];
/// How long such a crowd stays: until all that lies between a server and a caller is full.
const FILL_TIME: Duration = Duration::from_secs(4);
/// Duration of a call at a slow server.
const SLOW_CALL: Duration = Duration::from_millis(1500);

/// A site on a thread of this process.
struct CrowdSite {
    store: String,
    servers: Vec<Arc<ServerStandin>>,
}

impl CrowdSite {
    /// Starts a site whose plain servers are configured by `options`.
    fn start(options: ServerOptions) -> CrowdSite {
        CrowdSite::start_with(options, &[])
    }

    /// Starts a site with [`MANY_DECODERS`] too.
    fn start_with_many_engines() -> CrowdSite {
        CrowdSite::start_with(ServerOptions::default(), &MANY_DECODERS)
    }

    fn start_with(options: ServerOptions, more_decoders: &'static [&str]) -> CrowdSite {
        let (sender, receiver) = mpsc::channel();
        thread::spawn(move || {
            pool::block_on(async move {
                let (plain, engines) = DEFAULT_SERVERS.split_at(2);
                let mut site = Site::start_with(engines, ServerOptions::default()).await;
                for (id, stage) in plain {
                    site.add_server(id, *stage, options.clone()).await;
                }
                for id in more_decoders {
                    site.add_server(id, Stage::Decode, ServerOptions::default()).await;
                }
                configure(&site);
                let servers = site.servers.iter().map(|(server, _)| Arc::clone(server)).collect();
                let store = site.store_address.to_string();
                sender.send(CrowdSite { store, servers }).expect("a waiting test");
                std::future::pending::<()>().await;
            });
        });
        receiver.recv_timeout(HANG_TIMEOUT).expect("a started site")
    }

    fn runs_of(&self, request: &str) -> u32 {
        self.servers.iter().map(|server| server.runs_of(request)).sum()
    }

    /// Starts a gateway with [`LIMITS`].
    fn start_gateway(&self) -> Gateway {
        let ProcessLimits { memory_mb, max_fds } = LIMITS;
        let limits = format!("limits:\n  memoryMb: {memory_mb}\n  maxFds: {max_fds}\n");
        let settings = settings_text(&self.store) + &limits;
        Gateway::start_from("crowd", &settings, &["--log-lines", "400"], "")
    }
}

/// Puts a configuration with [`MAX_BODY_BYTES`] in the store of `site`.
fn configure(site: &Site) {
    let config = SiteConfig { version: 2, routes: Site::routes(), organisations: Vec::new() };
    let mut document = config.document();
    document["limits"]["maxBodyBytes"] = json!(MAX_BODY_BYTES);
    site.store.put("op", "config", &document);
}

/// A gateway before a site.
struct GatewayTarget {
    site: CrowdSite,
    gateway: Gateway,
    agent: ureq::Agent,
    /// Path of the ordinary requests.
    ordinary_path: &'static str,
    /// Where the crowd connects to.
    crowd_address: SocketAddr,
}

impl GatewayTarget {
    /// Starts a gateway before plain servers with `options`.
    fn start(options: ServerOptions, ordinary_path: &'static str) -> GatewayTarget {
        GatewayTarget::before(CrowdSite::start(options), ordinary_path)
    }

    /// Starts a gateway before `site`.
    fn before(site: CrowdSite, ordinary_path: &'static str) -> GatewayTarget {
        let gateway = site.start_gateway();
        let crowd_address = gateway.front.parse().expect("an address");
        GatewayTarget { site, gateway, agent: agent(), ordinary_path, crowd_address }
    }
}

impl CrowdTarget for GatewayTarget {
    fn process(&mut self) -> &mut Child {
        &mut self.gateway.child
    }

    fn front(&self) -> SocketAddr {
        self.crowd_address
    }

    fn try_ordinary(&self, id: &str) -> Result<u16, ureq::Error> {
        self.gateway.try_call(&self.agent, self.ordinary_path, id)
    }

    fn runs_of(&self, member: usize) -> Option<u32> {
        Some(self.site.runs_of(&member_id(member)))
    }
}

/// Lets a crowd come to a gateway before sound servers.
fn check_gateway(size: usize, request: CrowdRequest) {
    let _turn = one_at_a_time();
    let target = GatewayTarget::start(ServerOptions::default(), "/safe/x");
    check_crowds(target, LIMITS, &[(size, request)]);
}

/// Lets a crowd come to a gateway before plain servers with `options`; ordinary requests go to
/// others.
fn check_gateway_before(options: ServerOptions, size: usize, request: CrowdRequest) {
    let _turn = one_at_a_time();
    check_crowds(GatewayTarget::start(options, "/stream/x"), LIMITS, &[(size, request)]);
}

fn member_id(number: usize) -> String {
    format!("member-{number}")
}

/// Returns the head of a member's request, up to the headers that frame its body.
fn open_head(number: usize) -> String {
    let id = member_id(number);
    format!("POST /safe/x HTTP/1.1\r\nhost: site.example\r\nx-request-id: {id}\r\n")
}

fn length_head(number: usize) -> String {
    open_head(number) + &format!("content-length: {MAX_BODY_BYTES}\r\n\r\n")
}

fn announced_head(number: usize) -> String {
    open_head(number) + "content-length: 1000000000\r\n\r\n"
}

fn chunked_head(number: usize) -> String {
    open_head(number) + "transfer-encoding: chunked\r\n\r\n"
}

fn empty_head(number: usize) -> String {
    open_head(number) + "content-length: 0\r\n\r\n"
}

/// Guards against bodies just short of their end that are held without bound.
#[test]
fn gateway_bears_bodies_just_short_of_their_end() {
    let body = vec![b'b'; MAX_BODY_BYTES - 1];
    check_gateway(BODY_CROWD, CrowdRequest::at_once(length_head, body));
}

/// Guards against the same for bodies that come in small pieces.
#[test]
fn gateway_bears_bodies_in_pieces() {
    let request = CrowdRequest {
        head: length_head,
        body: vec![b'b'; MAX_BODY_BYTES - 1].into(),
        piece_bytes: 1024,
    };
    check_gateway(BODY_CROWD, request);
}

/// Guards against whole bodies that are held without bound while slow servers run their requests.
#[test]
fn gateway_bears_whole_bodies_at_slow_servers() {
    let body = vec![b'b'; MAX_BODY_BYTES];
    let request = CrowdRequest::at_once(length_head, body);
    let options = ServerOptions { step_delay: SLOW_CALL, ..ServerOptions::default() };
    check_gateway_before(options, BODY_CROWD, request);
}

/// Guards against bodies in large chunks without an end that are held without bound.
#[test]
fn gateway_bears_large_chunks_without_an_end() {
    let body = chunks(MAX_BODY_BYTES - 1, 16 * 1024, "");
    check_gateway(BODY_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against a cost per chunk that is many times the chunk.
#[test]
fn gateway_bears_chunks_of_one_byte_without_an_end() {
    let body = chunks(TINY_CHUNK_BODY_BYTES, 1, "");
    check_gateway(TINY_CHUNK_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against a cost per chunk that outlives the body.
#[test]
fn gateway_bears_whole_bodies_in_chunks_of_one_byte() {
    let mut body = chunks(TINY_CHUNK_BODY_BYTES, 1, "");
    body.extend_from_slice(b"0\r\n\r\n");
    check_gateway(TINY_CHUNK_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against extensions of chunks that are held without bound.
#[test]
fn gateway_bears_chunk_extensions() {
    let extension = format!(";{}", "e".repeat(1000));
    let body = chunks(200, 1, &extension);
    check_gateway(TINY_CHUNK_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against bodies over the limit that are held because their head announced it.
#[test]
fn gateway_bears_announced_bodies_over_the_limit() {
    let body = vec![b'b'; MAX_BODY_BYTES];
    check_gateway(BODY_CROWD, CrowdRequest::at_once(announced_head, body));
}

/// Guards against bodies over the limit that are held because nothing announced it.
#[test]
fn gateway_bears_unannounced_bodies_over_the_limit() {
    let body = chunks(OVERSIZED_BODY_BYTES, 16 * 1024, "");
    check_gateway(BODY_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against heads over the limit, and without an end, that are held without bound.
#[test]
fn gateway_bears_heads_without_an_end() {
    let head = |number| open_head(number) + "x-long: ";
    let request = CrowdRequest::at_once(head, vec![b'h'; UNFINISHED_HEAD_BYTES]);
    check_gateway(CONNECTION_CROWD, request);
}

/// Guards against connections that take all descriptors, or memory before their first byte.
#[test]
fn gateway_bears_connections_that_never_speak() {
    let request = CrowdRequest::at_once(|_| String::new(), Vec::new());
    check_gateway(CONNECTION_CROWD, request);
}

/// Guards against bytes behind a request that fill the receive windows of all connections.
#[test]
fn gateway_bears_bytes_behind_requests() {
    let request = CrowdRequest::at_once(empty_head, vec![b'x'; MAX_BODY_BYTES]);
    let options = ServerOptions { step_delay: SLOW_CALL, ..ServerOptions::default() };
    check_gateway_before(options, CONNECTION_CROWD, request);
}

/// Guards against answers that are held for callers that do not read them.
#[test]
fn gateway_bears_answers_that_nobody_reads() {
    let request = CrowdRequest::at_once(empty_head, Vec::new());
    let options = ServerOptions { padding: MAX_BODY_BYTES, ..ServerOptions::default() };
    check_gateway_before(options, CONNECTION_CROWD, request);
}

/// Guards against events that are held for callers that do not read them, however long they are.
#[test]
fn gateway_bears_long_events_that_nobody_reads() {
    let _turn = one_at_a_time();
    let mut target = GatewayTarget::before(CrowdSite::start_with_many_engines(), "/safe/x");
    let decoders = target.site.servers.iter().filter(|server| server.stage() == Stage::Decode);
    decoders.for_each(|server| server.set_endless(Some(EndlessPart::LongEvents)));
    let head = |number| empty_head(number).replacen("/safe/", "/stream/", 1);
    let request = CrowdRequest::at_once(head, Vec::new());
    let crowd = Crowd::send(target.front(), 0..STREAM_CROWD, &request);
    let started_at = Instant::now();
    while started_at.elapsed() < FILL_TIME {
        let process_use = ProcessUse::read(target.process().id(), &[target.front()]);
        process_use.assert_within(LIMITS, "beside the crowd");
        thread::sleep(FILL_TIME / 10);
    }
    assert_eq!(target.try_ordinary("beside").ok(), Some(200), "beside the crowd");
    drop(crowd);
    check_crowds(target, LIMITS, &[(STREAM_CROWD, request)]);
}

/// Guards against bounds that hold for one kind of crowd only.
#[test]
fn gateway_bears_several_crowds_at_once() {
    let short = CrowdRequest::at_once(length_head, vec![b'b'; MAX_BODY_BYTES - 1]);
    let large = CrowdRequest::at_once(chunked_head, chunks(MAX_BODY_BYTES - 1, 16 * 1024, ""));
    let tiny = CrowdRequest::at_once(chunked_head, chunks(TINY_CHUNK_BODY_BYTES, 1, ""));
    let requests = [(BODY_CROWD, short), (BODY_CROWD, large), (BODY_CROWD, tiny)];
    let _turn = one_at_a_time();
    let target = GatewayTarget::start(ServerOptions::default(), "/safe/x");
    check_crowds(target, LIMITS, &requests);
}

/// Guards against listeners beside the callers' that take all descriptors or memory.
#[test]
fn gateway_bears_crowds_at_its_other_listeners() {
    type Listener = fn(&Gateway) -> &str;
    const LISTENERS: [Listener; 3] =
        [|gateway| &gateway.ready, |gateway| &gateway.metrics, |gateway| &gateway.peer];
    let _turn = one_at_a_time();
    for listener in LISTENERS {
        let target = GatewayTarget::start(ServerOptions::default(), "/safe/x");
        let crowd_address = listener(&target.gateway).parse().expect("an address");
        let target = GatewayTarget { crowd_address, ..target };
        let head = |_| "GET /metrics HTTP/1.1\r\nhost: x\r\nx-long: ".to_owned();
        let request = CrowdRequest::at_once(head, vec![b'h'; UNFINISHED_HEAD_BYTES]);
        check_crowds(target, LIMITS, &[(CONNECTION_CROWD, request)]);
    }
}

/// Guards against bounds that a single request within the limits meets.
#[test]
fn gateway_serves_single_requests_within_the_limits() {
    struct Case {
        name: &'static str,
        head: fn(usize) -> String,
        body: Vec<u8>,
        piece_bytes: usize,
        status: u16,
    }
    let ended = |mut body: Vec<u8>| {
        body.extend_from_slice(b"0\r\n\r\n");
        body
    };
    let whole = || vec![b'b'; MAX_BODY_BYTES];
    let extension = format!(";{}", "e".repeat(100));
    let cases = [
        Case {
            name: "with a length, at once",
            head: length_head,
            body: whole(),
            piece_bytes: MAX_BODY_BYTES,
            status: 200,
        },
        Case {
            name: "with a length, in pieces",
            head: length_head,
            body: whole(),
            piece_bytes: 1000,
            status: 200,
        },
        Case {
            name: "in large chunks",
            head: chunked_head,
            body: ended(chunks(MAX_BODY_BYTES, 16 * 1024, "")),
            piece_bytes: 16 * 1024,
            status: 200,
        },
        Case {
            name: "in chunks of a byte",
            head: chunked_head,
            body: ended(chunks(TINY_CHUNK_BODY_BYTES, 1, "")),
            piece_bytes: 16 * 1024,
            status: 200,
        },
        Case {
            name: "in chunks with extensions",
            head: chunked_head,
            body: ended(chunks(MAX_BODY_BYTES, 16 * 1024, &extension)),
            piece_bytes: 16 * 1024,
            status: 200,
        },
        Case {
            name: "over the limit, announced",
            head: announced_head,
            body: whole(),
            piece_bytes: 16 * 1024,
            status: 413,
        },
        Case {
            name: "over the limit, in chunks",
            head: chunked_head,
            body: ended(chunks(OVERSIZED_BODY_BYTES, 16 * 1024, "")),
            piece_bytes: 16 * 1024,
            status: 413,
        },
    ];
    let _turn = one_at_a_time();
    let target = GatewayTarget::start(ServerOptions::default(), "/safe/x");
    for (number, case) in cases.into_iter().enumerate() {
        let Case { head, body, piece_bytes, .. } = case;
        let request = CrowdRequest { head, body: body.into(), piece_bytes };
        let mut caller = Crowd::send(target.front(), number..number + 1, &request);
        let response = caller.whole_response();
        assert_eq!(response.status(), Some(case.status), "{}: {}", case.name, response.text);
    }
}
