//! A connection whose reads go through a filter.

use std::io;
use std::pin::Pin;
use std::task::Context;
use std::task::Poll;

use futures_lite::AsyncRead;
use futures_lite::AsyncWrite;

/// Sees, and may refuse, what is read from a connection.
pub trait ReadFilter: Unpin {
    /// Reads from `stream` as [`AsyncRead::poll_read`] does.
    fn poll_read<S: AsyncRead + Unpin>(
        &self,
        stream: &mut S,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>>;
}

/// A connection that is read through `filter`, and written directly.
#[derive(Debug)]
pub struct FilteredStream<S, F> {
    stream: S,
    filter: F,
}

impl<S, F> FilteredStream<S, F> {
    pub fn new(stream: S, filter: F) -> Self {
        FilteredStream { stream, filter }
    }
}

impl<S: AsyncRead + Unpin, F: ReadFilter> AsyncRead for FilteredStream<S, F> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buffer: &mut [u8],
    ) -> Poll<io::Result<usize>> {
        let FilteredStream { stream, filter } = self.get_mut();
        filter.poll_read(stream, cx, buffer)
    }
}

impl<S: AsyncWrite + Unpin, F: Unpin> AsyncWrite for FilteredStream<S, F> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, slices)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_close(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_close(cx)
    }
}
