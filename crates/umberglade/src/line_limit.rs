//! Limits the number of log lines written per second.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tracing_appender::non_blocking::ErrorCounter;
use tracing_subscriber::fmt::MakeWriter;
use umberglade_gateway::events;

/// The window over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct WindowCounts {
    started_at: Instant,
    written: u32,
    dropped: u64,
    /// Lines dropped by the queue behind this limit between process start and the window's start.
    queue_dropped: u64,
    /// Lines dropped between process start and the window's start. Every report of dropped lines
    /// includes this total, because the reporting line may itself be dropped.
    total: u64,
}

/// Forwards a bounded number of lines per second.
///
/// Prevents logging from taking processor time from requests: in a burst, or when a server fails
/// every request, the log would otherwise grow with the request rate. Each window with dropped
/// lines is followed by one line that reports their number, and a counter adds them up.
#[derive(Debug)]
pub struct LineLimit<W> {
    inner: W,
    per_window: u32,
    /// Counts lines dropped because the queue behind `inner` was full.
    queue_drops: ErrorCounter,
    count: Mutex<WindowCounts>,
}

impl<W> LineLimit<W> {
    /// Limits what is written to `inner` to `lines_per_s`; `queue_drops` counts the lines that
    /// `inner` itself drops.
    pub fn new(inner: W, queue_drops: ErrorCounter, lines_per_s: u32) -> Self {
        let count = WindowCounts {
            started_at: Instant::now(),
            written: 0,
            dropped: 0,
            queue_dropped: 0,
            total: 0,
        };
        LineLimit { inner, per_window: lines_per_s, queue_drops, count: Mutex::new(count) }
    }

    /// Returns whether one more line may be written, the number of lines dropped in the window
    /// that has just ended (0 if none has), and the number dropped from process start to the
    /// current window's start.
    fn admit(&self) -> (bool, u64, u64) {
        let mut count = self.count.lock().expect("line count lock");
        let mut dropped = 0;
        if count.started_at.elapsed() >= WINDOW {
            let queue_dropped = self.queue_drops.dropped_lines() as u64;
            let new_queue_drops = queue_dropped.saturating_sub(count.queue_dropped);
            metrics::counter!("umberglade_log_lines_dropped_total").increment(new_queue_drops);
            dropped = count.dropped + new_queue_drops;
            let total = count.total + dropped;
            *count = WindowCounts {
                started_at: Instant::now(),
                written: 0,
                dropped: 0,
                queue_dropped,
                total,
            };
        }
        count.written += 1;
        let is_admitted = count.written <= self.per_window;
        if !is_admitted {
            count.dropped += 1;
            metrics::counter!("umberglade_log_lines_dropped_total").increment(1);
        }
        (is_admitted, dropped, count.total)
    }
}

/// Writer for one line; holds `None` when the line is dropped.
#[derive(Debug)]
pub struct LimitedLineWriter<W>(Option<W>);

impl<W: Write> Write for LimitedLineWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.as_mut().map_or(Ok(bytes.len()), |inner| inner.write(bytes))
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.as_mut().map_or(Ok(()), Write::flush)
    }
}

impl<'a, W: MakeWriter<'a>> MakeWriter<'a> for LineLimit<W> {
    type Writer = LimitedLineWriter<W::Writer>;

    fn make_writer(&'a self) -> Self::Writer {
        let (is_admitted, dropped, total) = self.admit();
        if dropped > 0 {
            let event = events::LOG_LINES_DROPPED;
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":{event},\"dropped\":{dropped},\"total\":{total},\"message\":\"log lines dropped\"}}\n"
            );
            // A failure to write the log cannot be reported anywhere.
            let _ = self.inner.make_writer().write_all(line.as_bytes());
        }
        LimitedLineWriter(is_admitted.then(|| self.inner.make_writer()))
    }
}
