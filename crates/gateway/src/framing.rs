//! Frames of the messages that gateways send each other over TCP: a magic number, the length and the
//! encoded message.

use std::io;

use futures_lite::AsyncReadExt;
use futures_lite::AsyncWriteExt;
use serde::Serialize;
use serde::de::DeserializeOwned;
use smol::net::TcpStream;

/// Maximum size of a message without the content that may follow it, in bytes.
const MAX_MESSAGE_BYTES: usize = 4 * 1024;

/// Sends one message that begins with `magic`.
pub async fn write_message<M: Serialize>(
    stream: &mut TcpStream,
    magic: [u8; 4],
    message: &M,
) -> io::Result<()> {
    let body = postcard::to_allocvec(message).expect("encoding plain fields");
    let length = (body.len() as u32).to_le_bytes();
    stream.write_all(&[&magic[..], &length, &body].concat()).await
}

/// Receives the first bytes and the encoded body of one message.
pub async fn read_frame(stream: &mut TcpStream) -> io::Result<([u8; 4], Vec<u8>)> {
    let mut head = [0; 8];
    stream.read_exact(&mut head).await?;
    let [m0, m1, m2, m3, length @ ..] = head;
    let length = u32::from_le_bytes(length) as usize;
    if length > MAX_MESSAGE_BYTES {
        return Err(invalid("not a message of this build"));
    }
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await?;
    Ok(([m0, m1, m2, m3], body))
}

/// Receives one message that begins with `magic`.
pub async fn read_message<M: DeserializeOwned>(
    stream: &mut TcpStream,
    magic: [u8; 4],
) -> io::Result<M> {
    let (found, body) = read_frame(stream).await?;
    if found != magic {
        return Err(invalid("not a message of this build"));
    }
    decode(&body)
}

/// Decodes the body of a message.
pub fn decode<M: DeserializeOwned>(body: &[u8]) -> io::Result<M> {
    postcard::from_bytes(body).map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Returns the error of a message that can't be used.
pub fn invalid(problem: &'static str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, problem)
}
