//! Crowds of callers that do not behave, at `umberglade serve` as a process with small limits: it
//! lives, stays within its memory and descriptors, and answers an ordinary request beside the crowd
//! and after it.
//!
//! The sizes of the crowds and the limits go together: what a crowd sends is more than the memory.

mod support;

use std::net::SocketAddr;
use std::process::Child;

use support::ORGANISATIONS;
use support::Process;
use support::SHORT_FOLLOW_ARGS;
use support::Site;
use support::crowd::Crowd;
use support::crowd::CrowdRequest;
use support::crowd::chunks;
use support::crowd_check::CrowdTarget;
use support::crowd_check::check_crowds;
use support::crowd_check::one_at_a_time;
use support::process_use::ProcessLimits;
use support::try_post;
use support::wait_for_servers;

/// Limits of the processes under test.
const LIMITS: ProcessLimits = ProcessLimits { memory_mb: 48, max_fds: 700 };
/// The largest body that the daemon accepts.
const MAX_BODY_BYTES: usize = 4 << 20;
/// Members of a crowd with bodies of that size: 100 MB.
const BODY_CROWD: usize = 24;
/// Members of a crowd with bodies in chunks of one byte.
const TINY_CHUNK_CROWD: usize = 150;
/// Size of such a body.
const TINY_CHUNK_BODY_BYTES: usize = 64 * 1024;
/// Bytes of a body over the limit that is not announced.
const OVERSIZED_BODY_BYTES: usize = 2 * MAX_BODY_BYTES;
/// Members of a crowd with unfinished heads, or that only connect: more than there are sockets.
const CONNECTION_CROWD: usize = 600;
/// Bytes of an unfinished head.
const UNFINISHED_HEAD_BYTES: usize = 60 * 1024;
/// Servers of each stage.
const SERVERS: usize = 1;

/// A daemon before a site.
struct DaemonTarget {
    daemon: Process,
    _site: Site,
}

impl DaemonTarget {
    fn start() -> DaemonTarget {
        let site = Site::start(SERVERS, SERVERS);
        let mut args = vec!["serve", "--listen", "127.0.0.1:0", "--platform", &site.platform.addr];
        args.extend(["--daemon-id", "entry-limited"]);
        args.extend(SHORT_FOLLOW_ARGS);
        let daemon = Process::start_limited(&args, LIMITS);
        wait_for_servers(&daemon.addr, 2 * SERVERS);
        DaemonTarget { daemon, _site: site }
    }
}

impl CrowdTarget for DaemonTarget {
    fn process(&mut self) -> &mut Child {
        &mut self.daemon.child
    }

    fn front(&self) -> SocketAddr {
        self.daemon.addr.parse().expect("an address")
    }

    fn try_ordinary(&self, _: &str) -> Result<u16, ureq::Error> {
        let (_, key) = ORGANISATIONS[0];
        let response =
            try_post(&self.daemon.addr, "/v1/chat/completions", key, &prompt("ordinary"))?;
        Ok(response.status)
    }

    fn runs_of(&self, _: usize) -> Option<u32> {
        None
    }
}

/// Returns the body of a request with `text` as its prompt.
fn prompt(text: &str) -> String {
    format!(
        "{{\"model\":\"brief-model\",\"max_tokens\":2,\
         \"messages\":[{{\"role\":\"user\",\"content\":\"{text}\"}}]}}"
    )
}

/// Returns the body of a request that is `bytes` long.
fn prompt_of_length(bytes: usize) -> Vec<u8> {
    let rest = prompt("").len();
    prompt(&"b".repeat(bytes - rest)).into_bytes()
}

/// Lets a crowd come to a daemon.
fn check_daemon(size: usize, request: CrowdRequest) {
    let _turn = one_at_a_time();
    check_crowds(DaemonTarget::start(), LIMITS, &[(size, request)]);
}

/// Returns the head of a request, up to the headers that frame its body.
fn open_head() -> String {
    let (_, key) = ORGANISATIONS[1];
    format!("POST /v1/chat/completions HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {key}\r\n")
}

fn length_head(_: usize) -> String {
    open_head() + &format!("content-length: {MAX_BODY_BYTES}\r\n\r\n")
}

fn announced_head(_: usize) -> String {
    open_head() + "content-length: 1000000000\r\n\r\n"
}

fn chunked_head(_: usize) -> String {
    open_head() + "transfer-encoding: chunked\r\n\r\n"
}

/// Guards against bodies just short of their end that are held without bound.
#[test]
fn daemon_bears_bodies_just_short_of_their_end() {
    let body = vec![b'b'; MAX_BODY_BYTES - 1];
    check_daemon(BODY_CROWD, CrowdRequest::at_once(length_head, body));
}

/// Guards against the same for bodies that come in small pieces.
#[test]
fn daemon_bears_bodies_in_pieces() {
    let body = vec![b'b'; MAX_BODY_BYTES - 1].into();
    check_daemon(BODY_CROWD, CrowdRequest { head: length_head, body, piece_bytes: 4 * 1024 });
}

/// Guards against whole bodies that are held without bound.
#[test]
fn daemon_bears_whole_bodies() {
    let body = prompt_of_length(MAX_BODY_BYTES);
    check_daemon(BODY_CROWD, CrowdRequest::at_once(length_head, body));
}

/// Guards against bodies in large chunks without an end that are held without bound.
#[test]
fn daemon_bears_large_chunks_without_an_end() {
    let body = chunks(MAX_BODY_BYTES - 1, 16 * 1024, "");
    check_daemon(BODY_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against a cost per chunk that is many times the chunk.
#[test]
fn daemon_bears_chunks_of_one_byte_without_an_end() {
    let body = chunks(TINY_CHUNK_BODY_BYTES, 1, "");
    check_daemon(TINY_CHUNK_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against bodies over the limit that are held because their head announced it.
#[test]
fn daemon_bears_announced_bodies_over_the_limit() {
    let body = vec![b'b'; MAX_BODY_BYTES];
    check_daemon(BODY_CROWD, CrowdRequest::at_once(announced_head, body));
}

/// Guards against bodies over the limit that are held because nothing announced it.
#[test]
fn daemon_bears_unannounced_bodies_over_the_limit() {
    let body = chunks(OVERSIZED_BODY_BYTES, 16 * 1024, "");
    check_daemon(BODY_CROWD, CrowdRequest::at_once(chunked_head, body));
}

/// Guards against heads without an end that are held without bound.
#[test]
fn daemon_bears_heads_without_an_end() {
    let head = |_| open_head() + "x-long: ";
    let request = CrowdRequest::at_once(head, vec![b'h'; UNFINISHED_HEAD_BYTES]);
    check_daemon(CONNECTION_CROWD, request);
}

/// Guards against connections that take all descriptors, or memory before their first byte.
#[test]
fn daemon_bears_connections_that_never_speak() {
    let request = CrowdRequest::at_once(|_| String::new(), Vec::new());
    check_daemon(CONNECTION_CROWD, request);
}

/// Guards against bounds that a single request within the limits meets.
#[test]
fn daemon_serves_single_requests_within_the_limits() {
    struct Case {
        name: &'static str,
        head: fn(usize) -> String,
        body: Vec<u8>,
        status: u16,
    }
    let chunked = |chunk| {
        let mut framed = chunks_of(&padded(TINY_CHUNK_BODY_BYTES), chunk);
        framed.extend_from_slice(b"0\r\n\r\n");
        framed
    };
    let cases = [
        Case {
            name: "with a length",
            head: length_head,
            body: padded(MAX_BODY_BYTES).into_bytes(),
            status: 200,
        },
        Case { name: "in chunks", head: chunked_head, body: chunked(4 * 1024), status: 200 },
        Case { name: "in chunks of a byte", head: chunked_head, body: chunked(1), status: 200 },
        Case {
            name: "over the limit, announced",
            head: announced_head,
            body: vec![b'b'; MAX_BODY_BYTES],
            status: 413,
        },
        Case {
            name: "over the limit, in chunks",
            head: chunked_head,
            body: chunks(OVERSIZED_BODY_BYTES, 16 * 1024, ""),
            status: 413,
        },
    ];
    let _turn = one_at_a_time();
    let target = DaemonTarget::start();
    for (number, case) in cases.into_iter().enumerate() {
        let request = CrowdRequest::at_once(case.head, case.body);
        let mut caller = Crowd::send(target.front(), number..number + 1, &request);
        let response = caller.whole_response();
        assert_eq!(response.status(), Some(case.status), "{}: {}", case.name, response.text);
    }
}

/// Returns the body of a short request, padded to `bytes` bytes.
fn padded(bytes: usize) -> String {
    let short = prompt("ordinary");
    let padding = " ".repeat(bytes - short.len());
    short + &padding
}

/// Returns `text` in chunks of `chunk` bytes, without the last chunk.
fn chunks_of(text: &str, chunk: usize) -> Vec<u8> {
    let mut framed = Vec::new();
    for piece in text.as_bytes().chunks(chunk) {
        framed.extend_from_slice(format!("{:x}\r\n", piece.len()).as_bytes());
        framed.extend_from_slice(piece);
        framed.extend_from_slice(b"\r\n");
    }
    framed
}
