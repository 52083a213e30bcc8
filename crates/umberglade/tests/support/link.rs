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
const LOOK: Duration = Duration::from_millis(10);

/// How long a silenced connection is held open: longer than any test.
const SILENCE: Duration = Duration::from_secs(600);

#[derive(Default)]
struct LinkState {
    /// New connections are closed at once.
    cut: AtomicBool,
    /// Connections with a number below this forward nothing any more, and
    /// are never closed.
    silent_below: AtomicU64,
    next_number: AtomicU64,
}

/// The link; connect to `addr` to reach the peer.
pub struct Link {
    pub addr: String,
    state: Arc<LinkState>,
}

impl Link {
    /// A link to `peer` that forwards everything.
    pub fn to(peer: &str) -> Link {
        let listener = TcpListener::bind("127.0.0.1:0").expect("binding a link");
        let addr = listener.local_addr().expect("its address").to_string();
        let state = Arc::new(LinkState::default());
        let peer = peer.to_owned();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for near in listener.incoming().flatten() {
                if shared.cut.load(Ordering::Acquire) {
                    continue;
                }
                let Ok(far) = TcpStream::connect(&peer) else {
                    continue;
                };
                forward_both(near, far, &shared);
            }
        });
        Link { addr, state }
    }

    /// Every open connection goes silent for good; new ones work.
    pub fn silence_open(&self) {
        let next = self.state.next_number.load(Ordering::Acquire);
        self.state.silent_below.store(next, Ordering::Release);
    }

    /// Open connections go silent and new ones are refused.
    pub fn cut(&self) {
        self.state.cut.store(true, Ordering::Release);
        self.silence_open();
    }

    /// New connections work again.
    pub fn heal(&self) {
        self.state.cut.store(false, Ordering::Release);
    }
}

fn forward_both(near: TcpStream, far: TcpStream, state: &Arc<LinkState>) {
    let number = state.next_number.fetch_add(1, Ordering::AcqRel);
    let ways =
        [(near.try_clone().expect("cloning"), far.try_clone().expect("cloning")), (far, near)];
    for (from, to) in ways {
        let state = Arc::clone(state);
        thread::spawn(move || forward(from, to, number, &state));
    }
}

fn forward(mut from: TcpStream, mut to: TcpStream, number: u64, state: &LinkState) {
    let is_silent = || number < state.silent_below.load(Ordering::Acquire);
    let _ = from.set_read_timeout(Some(LOOK));
    let mut buffer = [0u8; 16 * 1024];
    loop {
        if is_silent() {
            // Held open, never used again.
            thread::sleep(SILENCE);
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
