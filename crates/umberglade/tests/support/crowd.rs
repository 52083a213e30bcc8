//! A crowd of callers that send the same bytes at once, read nothing and stay connected.

use std::io::Read;
use std::io::Write;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::ops::Range;
use std::sync::Arc;
use std::thread;
use std::time::Duration;

use super::gateway::HANG_TIMEOUT;

/// How long a member waits for its bytes to be taken, before it stops sending and stays connected.
const SEND_TIMEOUT: Duration = Duration::from_secs(3);
/// How long the responses that have been sent may take to be read.
const READ_TIMEOUT: Duration = Duration::from_millis(200);
/// Stack of a thread that sends, in bytes.
const SENDER_STACK_BYTES: usize = 64 * 1024;

/// What each member of a crowd sends.
pub struct CrowdRequest {
    /// Returns the head of the member with a number, which is no other's.
    pub head: fn(usize) -> String,
    /// What follows the head.
    pub body: Arc<[u8]>,
    /// Bytes of the body that are sent at once.
    pub piece_bytes: usize,
}

impl CrowdRequest {
    /// Returns a request whose body is sent in as few pieces as the system allows.
    pub fn at_once(head: fn(usize) -> String, body: Vec<u8>) -> CrowdRequest {
        CrowdRequest { head, piece_bytes: body.len().max(1), body: body.into() }
    }
}

/// Connected callers that have sent what they could.
pub struct Crowd {
    members: Vec<Member>,
}

/// One caller; `None` once its connection was closed to it.
struct Member {
    number: usize,
    stream: Option<TcpStream>,
}

/// A response as far as its caller has received it.
pub struct CrowdResponse {
    /// The number of the member.
    pub member: usize,
    pub text: String,
}

impl CrowdResponse {
    /// Returns the status; `None` if there is no response.
    pub fn status(&self) -> Option<u16> {
        self.text.strip_prefix("HTTP/1.1 ")?.get(..3)?.parse().ok()
    }
}

impl Crowd {
    /// Connects a caller for each of `numbers`, which sends `request`; returns once none can send
    /// any more.
    pub fn send(address: SocketAddr, numbers: Range<usize>, request: &CrowdRequest) -> Crowd {
        let members = thread::scope(|scope| {
            let senders: Vec<_> = numbers
                .map(|number| {
                    thread::Builder::new()
                        .stack_size(SENDER_STACK_BYTES)
                        .spawn_scoped(scope, move || Member {
                            number,
                            stream: send(address, number, request).ok(),
                        })
                        .expect("a thread for a sender")
                })
                .collect();
            senders.into_iter().map(|sender| sender.join().expect("a sender")).collect()
        });
        Crowd { members }
    }

    /// Returns what each member has received by now.
    pub fn responses(&mut self) -> Vec<CrowdResponse> {
        thread::scope(|scope| {
            let members = self.members.iter_mut();
            let read = |member: &mut Member| member.receive(READ_TIMEOUT);
            let readers: Vec<_> = members.map(|member| scope.spawn(move || read(member))).collect();
            readers.into_iter().map(|reader| reader.join().expect("a reader")).collect()
        })
    }

    /// Returns the response to a crowd of one, however long it takes.
    pub fn whole_response(&mut self) -> CrowdResponse {
        self.members[0].receive(HANG_TIMEOUT)
    }
}

impl Member {
    fn receive(&mut self, timeout: Duration) -> CrowdResponse {
        let mut received = [0; 1024];
        let length = self.stream.as_mut().map_or(0, |stream| {
            let _ = stream.set_read_timeout(Some(timeout));
            // A connection without a response, or one that was reset, has sent nothing.
            stream.read(&mut received).unwrap_or(0)
        });
        let text = String::from_utf8_lossy(&received[..length]).into_owned();
        CrowdResponse { member: self.number, text }
    }
}

/// Connects and sends `request`. Returns the open connection, or an error if it was closed.
fn send(address: SocketAddr, number: usize, request: &CrowdRequest) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(address)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(SEND_TIMEOUT))?;
    stream.write_all((request.head)(number).as_bytes())?;
    for piece in request.body.chunks(request.piece_bytes) {
        if let Err(error) = stream.write_all(piece) {
            let is_unread = error.kind() == std::io::ErrorKind::WouldBlock;
            return if is_unread { Ok(stream) } else { read_refusal(stream, error) };
        }
    }
    Ok(stream)
}

/// Returns the connection if a response can still be read from it.
fn read_refusal(stream: TcpStream, error: std::io::Error) -> std::io::Result<TcpStream> {
    stream.set_read_timeout(Some(READ_TIMEOUT))?;
    let mut byte = [0];
    match stream.peek(&mut byte) {
        Ok(1) => Ok(stream),
        _ => Err(error),
    }
}

/// Returns `bytes` bytes of body in chunks of `chunk` bytes, each with `extension`, without the
/// last chunk.
pub fn chunks(bytes: usize, chunk: usize, extension: &str) -> Vec<u8> {
    let mut framed = Vec::new();
    let mut left = bytes;
    while left > 0 {
        let size = chunk.min(left);
        framed.extend_from_slice(format!("{size:x}{extension}\r\n").as_bytes());
        framed.resize(framed.len() + size, b'b');
        framed.extend_from_slice(b"\r\n");
        left -= size;
    }
    framed
}
