//! Structured logs through `tracing`, as text for people or JSON for tools.

use std::io::IsTerminal;

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::EnvFilter;

use crate::line_limit::LineLimit;
use crate::setting;
use crate::setting::StartError;

/// The filter used when `UMBERGLADE_LOG` is not set.
const DEFAULT_FILTER: &str = "info";

/// Installs the global subscriber; `format` is `text` or `json`.
pub fn init(format: Option<String>) -> Result<(), StartError> {
    let format =
        setting::resolve("log-format", "UMBERGLADE_LOG_FORMAT", format, Some("text".to_owned()))?;
    let filter = EnvFilter::try_from_env("UMBERGLADE_LOG")
        .unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    let builder = tracing_subscriber::fmt()
        .with_env_filter(filter)
        // Colour codes are useful on a terminal only, not in a file.
        .with_ansi(std::io::stderr().is_terminal())
        .with_writer(std::io::stderr);
    match format.as_str() {
        "json" => builder.json().flatten_event(true).init(),
        "text" => builder.init(),
        other => {
            return Err(StartError::Setting {
                flag: "log-format",
                env: "UMBERGLADE_LOG_FORMAT",
                problem: format!("`{other}`: must be text or json"),
            });
        }
    }
    Ok(())
}

/// Installs a subscriber for command-line tools: logs only errors unless `UMBERGLADE_LOG` sets
/// another filter.
pub fn init_errors_only() {
    let filter =
        EnvFilter::try_from_env("UMBERGLADE_LOG").unwrap_or_else(|_| EnvFilter::new("error"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
}

/// Maximum lines queued for a slow reader of standard output; further lines are dropped.
const MAX_QUEUED_LINES: usize = 2048;

/// Installs a subscriber that writes JSON lines to standard output and never blocks the caller:
/// a thread writes the lines from a bounded queue. Lines beyond `lines_per_s` a second or beyond
/// the queue are dropped and counted. Dropping the returned guard flushes the queue, so it must be
/// kept while the process runs.
pub fn init_json(lines_per_s: u32) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .lossy(true)
        .buffered_lines_limit(MAX_QUEUED_LINES)
        .finish(std::io::stdout());
    let queue_drops = writer.error_counter();
    let filter = EnvFilter::try_from_env("UMBERGLADE_LOG")
        .unwrap_or_else(|_| EnvFilter::new(DEFAULT_FILTER));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .json()
        .flatten_event(true)
        .with_current_span(false)
        .with_target(false)
        .with_writer(LineLimit::new(writer, queue_drops, lines_per_s))
        .init();
    guard
}
