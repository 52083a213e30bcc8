//! Requests on new connections that the server closes.

use std::io::Read;
use std::net::Ipv4Addr;
use std::net::TcpListener;
use std::sync::mpsc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use umberglade_gateway::upstream;
use umberglade_gateway::upstream::ConnectionPool;
use umberglade_gateway::upstream::SendTarget;
use umberglade_wire::pool;
use umberglade_wire::request_content::RequestContent;

const TRIES: u64 = 300;
/// Upper bound of the random time from the connection to its end, in microseconds.
const MAX_OPEN_MICROS: u64 = 400;

/// Prevents a second run of an at-most-once request: a failed request counts as unsent only if its
/// server has received nothing of it, whenever the server closes the connection.
#[test]
fn a_request_that_arrived_is_never_taken_for_unsent() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let address = listener.local_addr().expect("a bound address");
    let (sender, receiver) = mpsc::channel();
    std::thread::spawn(move || {
        let mut rng = fastrand::Rng::with_seed(48);
        for stream in listener.incoming() {
            let mut stream = stream.expect("a connection");
            std::thread::sleep(Duration::from_micros(rng.u64(..MAX_OPEN_MICROS)));
            stream.set_nonblocking(true).expect("a socket");
            let received = stream.read(&mut [0; 512]).unwrap_or(0);
            drop(stream);
            sender.send(received).expect("the test receives");
        }
    });
    pool::start(2);
    pool::block_on(async {
        let pool = ConnectionPool::default();
        for number in 0..TRIES {
            let target =
                SendTarget { server: "s".into(), incarnation: 0, address, may_reuse: false };
            let request = Request::post("/once").header("host", "a").header("x-number", number);
            let request =
                request.body(RequestContent::from(Bytes::from("book"))).expect("a valid request");
            let error = upstream::send(&pool, &target, request).await.expect_err("no response");
            let received = receiver.recv().expect("the server's thread");
            assert!(!error.is_unsent() || received == 0, "{number}: {received} bytes, {error}");
        }
    });
}
