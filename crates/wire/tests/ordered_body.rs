//! What a caller receives of a response whose body is aborted.

use std::convert::Infallible;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use hyper::body::Frame;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use smol::net::TcpListener;
use smol_hyper::rt::FuturesIo;
use umberglade_wire::ordered_body::FlushSignal;
use umberglade_wire::ordered_body::OrderedBody;
use umberglade_wire::ordered_body::TrackedStream;

/// Longer than a read takes, so that a time-out indicates a hang.
const HANG_TIMEOUT: Duration = Duration::from_secs(5);

/// Serves one response, whose frames and abort are all available at once, and returns the bytes
/// that its caller receives. The caller begins to read after `read_delay`.
fn received_bytes(frames: Vec<Bytes>, read_delay: Duration) -> Vec<u8> {
    smol::block_on(async {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await.expect("a free port");
        let address = listener.local_addr().expect("a bound address");
        let caller = smol::unblock(move || {
            let mut stream = std::net::TcpStream::connect(address).expect("a connection");
            stream.set_read_timeout(Some(HANG_TIMEOUT)).expect("a valid timeout");
            stream.write_all(b"GET / HTTP/1.1\r\nhost: a\r\n\r\n").expect("a sent request");
            std::thread::sleep(read_delay);
            let mut bytes = Vec::new();
            stream.read_to_end(&mut bytes).expect("the end of the connection");
            let _ = stream.shutdown(Shutdown::Both);
            bytes
        });
        let (stream, _) = listener.accept().await.expect("the caller's connection");
        let signal = FlushSignal::default();
        let tracked = TrackedStream::new(stream, signal.clone());
        let service = service_fn(move |_| {
            let (frames, signal) = (frames.clone(), signal.clone());
            async move {
                let (sender, receiver) = async_channel::unbounded();
                for bytes in frames {
                    let _ = sender.try_send(Ok(Frame::data(bytes)));
                }
                let _ = sender.try_send(Err(std::io::Error::other("aborted")));
                let body = OrderedBody::new(StreamBody::new(receiver), signal);
                Ok::<_, Infallible>(Response::new(body))
            }
        });
        let served = http1::Builder::new().serve_connection(FuturesIo::new(tracked), service);
        assert!(served.await.is_err(), "the abort ends the connection");
        caller.await
    })
}

/// A body that is aborted before anything is written must not take the response head, or the
/// frames before the abort, with it.
#[test]
fn an_abort_follows_the_head_and_all_frames() {
    struct AbortCase {
        name: &'static str,
        frames: Vec<Bytes>,
        read_delay: Duration,
    }
    let event = Bytes::from_static(b"data: w\n\n");
    let large = Bytes::from(vec![b'x'; 4 << 20]);
    let none = Duration::ZERO;
    let cases = [
        AbortCase { name: "no frame", frames: vec![], read_delay: none },
        AbortCase { name: "one event", frames: vec![event.clone()], read_delay: none },
        AbortCase { name: "many events", frames: vec![event; 50], read_delay: none },
        AbortCase {
            name: "more than the connection buffers, read late",
            frames: vec![large],
            read_delay: Duration::from_millis(200),
        },
    ];
    for AbortCase { name, frames, read_delay } in cases {
        let sent: usize = frames.iter().map(Bytes::len).sum();
        let bytes = received_bytes(frames, read_delay);
        assert!(bytes.starts_with(b"HTTP/1.1 200 OK\r\n"), "{name}: no response head");
        assert!(bytes.len() > sent, "{name}: {} bytes of more than {sent}", bytes.len());
        assert!(!bytes.ends_with(b"0\r\n\r\n"), "{name}: the response looks complete");
    }
}

/// A caller that does not read must not keep an aborted connection open: without a flush, the
/// abort follows all the same.
#[test]
fn an_abort_does_not_wait_for_a_caller_that_does_not_read() {
    let abort: Result<Frame<Bytes>, _> = Err(std::io::Error::other("aborted"));
    let frames = futures_lite::stream::once(abort);
    let mut body = OrderedBody::new(StreamBody::new(frames), FlushSignal::default());
    let started_at = Instant::now();
    let frame = smol::block_on(body.frame());
    assert!(frame.is_some_and(|frame| frame.is_err()), "the abort was lost");
    assert!(started_at.elapsed() < HANG_TIMEOUT, "the abort waited for a flush");
}
