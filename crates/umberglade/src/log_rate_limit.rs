//! Bounds how many log lines are written a second.

use std::io;
use std::io::Write;
use std::sync::Mutex;
use std::time::Duration;
use std::time::Instant;

use tracing_appender::non_blocking::ErrorCounter;
use tracing_subscriber::fmt::MakeWriter;
use umberglade_gateway::events;

/// The span over which lines are counted.
const WINDOW: Duration = Duration::from_secs(1);

#[derive(Debug)]
struct WindowCounts {
    started_at: Instant,
    written: u32,
    dropped: u64,
    /// Lines lost behind this limit up to the window's beginning.
    queue_dropped: u64,
    /// Lines dropped up to the window's beginning, since the start: told
    /// each time, because the line that tells may itself be lost.
    total: u64,
}

/// Passes on a bounded number of lines a second.
///
/// Guards against logs taking the processor from requests: a burst or a
/// server that fails everything would otherwise write as much as it is
/// sent. Each window that dropped lines is followed by one line that says
/// how many, and a counter adds them up.
#[derive(Debug)]
pub struct LogRateLimit<W> {
    inner: W,
    per_window: u32,
    /// Lines that found the queue behind `inner` full.
    queue_drops: ErrorCounter,
    count: Mutex<WindowCounts>,
}

impl<W> LogRateLimit<W> {
    /// A limit of `lines_per_s` on what is written to `inner`, whose own
    /// losses `overflow` counts.
    pub fn new(inner: W, queue_drops: ErrorCounter, lines_per_s: u32) -> Self {
        let count = WindowCounts {
            started_at: Instant::now(),
            written: 0,
            dropped: 0,
            queue_dropped: 0,
            total: 0,
        };
        LogRateLimit { inner, per_window: lines_per_s, queue_drops, count: Mutex::new(count) }
    }

    /// Whether one more line may be written, and how many were dropped in
    /// the window that has just ended, and
    /// since the start.
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

/// One line's writer; `None` when the line is dropped.
#[derive(Debug)]
pub struct LineWriter<W>(Option<W>);

impl<W: Write> Write for LineWriter<W> {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.0.as_mut().map_or(Ok(bytes.len()), |inner| inner.write(bytes))
    }

    fn flush(&mut self) -> io::Result<()> {
        self.0.as_mut().map_or(Ok(()), Write::flush)
    }
}

impl<'a, W: MakeWriter<'a>> MakeWriter<'a> for LogRateLimit<W> {
    type Writer = LineWriter<W::Writer>;

    fn make_writer(&'a self) -> Self::Writer {
        let (is_admitted, dropped, total) = self.admit();
        if dropped > 0 {
            let event = events::LINES_DROPPED;
            let line = format!(
                "{{\"level\":\"WARN\",\"event\":{event},\"dropped\":{dropped},\"total\":{total},\"message\":\"log lines dropped\"}}\n"
            );
            // A log that can't be written has no place to say so.
            let _ = self.inner.make_writer().write_all(line.as_bytes());
        }
        LineWriter(is_admitted.then(|| self.inner.make_writer()))
    }
}
