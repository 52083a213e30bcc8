//! Answers whose status is none, at the client that opens a connection for each request.

use std::time::Duration;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use http::Method;
use smol::net::TcpListener;
use umberglade_wire::WireError;
use umberglade_wire::client::HttpClient;
use umberglade_wire::pool;

const TIMEOUT: Duration = Duration::from_secs(2);

struct StatusCase {
    line: &'static str,
    is_answer: bool,
}

const CASES: [StatusCase; 7] = [
    StatusCase { line: "200 OK", is_answer: true },
    StatusCase { line: "599 Last", is_answer: true },
    StatusCase { line: "600 High", is_answer: false },
    StatusCase { line: "999 Highest", is_answer: false },
    StatusCase { line: "101 Switching Protocols", is_answer: false },
    StatusCase { line: "099 Low", is_answer: false },
    StatusCase { line: "000 None", is_answer: false },
];

/// Answers one request with `line`.
async fn serve(listener: TcpListener, line: &'static str) {
    let (mut stream, _) = listener.accept().await.expect("a connection");
    let mut request = [0; 1024];
    let _ = stream.read(&mut request).await;
    let answer = format!("HTTP/1.1 {line}\r\ncontent-length: 2\r\n\r\n{{}}");
    let _ = stream.write_all(answer.as_bytes()).await;
}

/// Prevents bytes whose status no answer can have from passing for one, so that what a server may
/// have run would count as answered or as rejected.
#[test]
fn a_status_that_no_answer_has_is_a_failure() {
    pool::block_on(async {
        for case in &CASES {
            let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
            let address = listener.local_addr().expect("an address");
            let server = pool::spawn_joined(serve(listener, case.line));
            let client = HttpClient::new(address.to_string(), TIMEOUT);
            let sent = client.send("ask", Method::GET, "/x", None).await;
            server.await;
            assert_eq!(sent.is_ok(), case.is_answer, "{}", case.line);
            if let Err(error) = sent {
                assert!(error.is_outcome_unknown(), "{}: {error}", case.line);
                assert!(!matches!(error, WireError::Status { .. }), "{}: {error}", case.line);
            }
        }
    });
}
