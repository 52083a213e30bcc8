//! A link between two processes that a test can cut or silence: it
//! forwards TCP connections to one peer.

use std::io::Read;
use std::io::Write;
use std::net::Shutdown;
use std::net::TcpListener;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;

/// How often a forwarder looks whether its connection went silent.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a silenced connection is held open: longer than any test.
const SILENT_HOLD_TIME: Duration = Duration::from_secs(600);

#[derive(Default)]
struct ProxyState {
    /// New connections are closed at once.
    cut: AtomicBool,
    /// Connections with a number below this forward nothing any more, and
    /// are never closed.
    silent_below: AtomicU64,
    next_number: AtomicU64,
}

/// The link; connect to `addr` to reach the peer.
pub struct TcpProxy {
    pub addr: String,
    state: Arc<ProxyState>,
}

impl TcpProxy {
    /// A link to `peer` that forwards everything.
    pub fn to(peer: &str) -> TcpProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a link");
        let addr = listener.local_addr().expect("its address").to_string();
        let state = Arc::new(ProxyState::default());
        let peer = peer.to_owned();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for client in listener.incoming().flatten() {
                if shared.cut.load(Ordering::Acquire) {
                    continue;
                }
                let Ok(upstream) = TcpStream::connect(&peer) else {
                    continue;
                };
                forward_both_directions(client, upstream, &shared);
            }
        });
        TcpProxy { addr, state }
    }

    /// Every open connection goes silent for good; new ones work.
    pub fn silence_open_connections(&self) {
        let next = self.state.next_number.load(Ordering::Acquire);
        self.state.silent_below.store(next, Ordering::Release);
    }

    /// Open connections go silent and new ones are refused.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::Release);
        self.silence_open_connections();
    }

    /// New connections work again.
    pub fn restore(&self) {
        self.state.cut.store(false, Ordering::Release);
    }
}

fn forward_both_directions(client: TcpStream, upstream: TcpStream, state: &Arc<ProxyState>) {
    let number = state.next_number.fetch_add(1, Ordering::AcqRel);
    let directions = [
        (client.try_clone().expect("cloning"), upstream.try_clone().expect("cloning")),
        (upstream, client),
    ];
    for (from, to) in directions {
        let state = Arc::clone(state);
        thread::spawn(move || forward(from, to, number, &state));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, state: &ProxyState) {
    let is_silent = || number < state.silent_below.load(Ordering::Acquire);
    let _ = from.set_read_timeout(Some(POLL_INTERVAL));
    let mut buffer = [0u8; 16 * 1024];
    loop {
        if is_silent() {
            // Held open, never used again.
            thread::sleep(SILENT_HOLD_TIME);
            return;
        }
        match from.read(&mut buffer) {
            Ok(0) => break,
            Ok(count) if is_silent() || to.write_all(&buffer[..count]).is_err() => break,
            Ok(_) => {}
            Err(error) if is_timeout(&error) => {}
            Err(_) => break,
        }
    }
    if !is_silent() {
        let _ = to.shutdown(Shutdown::Write);
    }
}

fn is_timeout(error: &std::io::Error) -> bool {
    matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut)
}
