//! Structured logs through `tracing`: text for people, JSON for machines.

use tracing_subscriber::EnvFilter;

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
    let builder = tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr);
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

/// Installs a subscriber for tools: only errors, unless `UMBERGLADE_LOG`
/// asks for more.
pub fn init_quiet() {
    let filter =
        EnvFilter::try_from_env("UMBERGLADE_LOG").unwrap_or_else(|_| EnvFilter::new("error"));
    tracing_subscriber::fmt().with_env_filter(filter).with_writer(std::io::stderr).init();
}
