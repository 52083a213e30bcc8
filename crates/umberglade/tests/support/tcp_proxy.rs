//! A TCP proxy in front of one peer, with which a test can cut or silence the connections between
//! two processes.

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

/// How often a forwarding thread checks whether its connection was silenced.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// How long a silenced connection is held open; longer than any test runs.
const SILENT_HOLD_TIME: Duration = Duration::from_secs(600);

#[derive(Default)]
struct ProxyState {
    /// New connections are closed at once.
    cut: AtomicBool,
    /// Connections with a number below this forward nothing and stay open.
    silent_below: AtomicU64,
    next_number: AtomicU64,
}

/// The proxy; connections to `addr` reach the peer.
pub struct TcpProxy {
    pub addr: String,
    state: Arc<ProxyState>,
}

impl TcpProxy {
    /// Starts a proxy to `peer` that forwards everything.
    pub fn to(peer: &str) -> TcpProxy {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding the proxy");
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

    /// Silences every open connection permanently; new connections work.
    pub fn silence_open_connections(&self) {
        let next = self.state.next_number.load(Ordering::Acquire);
        self.state.silent_below.store(next, Ordering::Release);
    }

    /// Silences open connections and closes new ones at once.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::Release);
        self.silence_open_connections();
    }

    /// Lets new connections work again.
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
            // The connection stays open and is not used again.
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
