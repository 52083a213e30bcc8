//! `umberctl explain`: one request's timeline, merged from the log lines of any number of
//! instances.

use std::fmt::Write;
use std::io::Read;

use serde_json::Map;
use serde_json::Value;

use crate::commands::CommandError;

/// Fields that are not printed as `name=value`: each line begins with its time, event and message;
/// the level is left out, and the request id is the same in all lines.
const HEADER_FIELDS: [&str; 5] = ["timestamp", "level", "message", "event", "request_id"];
/// File name that stands for standard input.
const STANDARD_INPUT: &str = "-";

/// Returns the timeline of `request_id` in `files`, oldest line first. Text before a line's JSON
/// object (an instance's name, a time) is kept as the line's source.
pub fn explain(request_id: &str, files: &[String]) -> Result<String, CommandError> {
    let mut lines = Vec::new();
    for file in files {
        lines.extend(read(file)?.lines().filter_map(|line| parse(line, request_id)));
    }
    lines.sort_by(|left, right| left.timestamp.cmp(&right.timestamp));
    if lines.is_empty() {
        return Ok(format!(
            "no line names {request_id}: the request reached none of these instances, or its \
             lines were dropped (look for event 7006)"
        ));
    }
    Ok(lines.iter().map(LogRecord::render).collect::<Vec<_>>().join("\n"))
}

struct LogRecord {
    timestamp: String,
    source: String,
    fields: Map<String, Value>,
}

impl LogRecord {
    fn render(&self) -> String {
        let text = |name| self.fields.get(name).map(unquoted).unwrap_or_default();
        let mut line = format!("{} {} {}", self.timestamp, text("event"), text("message"));
        let other_fields =
            self.fields.iter().filter(|(name, _)| !HEADER_FIELDS.contains(&name.as_str()));
        for (name, value) in other_fields {
            // Writing to a string does not fail.
            let _ = write!(line, " {name}={}", unquoted(value));
        }
        if !self.source.is_empty() {
            let _ = write!(line, " [{}]", self.source);
        }
        line
    }
}

/// Formats a value without the quotes of a JSON string.
fn unquoted(value: &Value) -> String {
    value.as_str().map_or_else(|| value.to_string(), str::to_owned)
}

fn parse(line: &str, request_id: &str) -> Option<LogRecord> {
    let start = line.find('{')?;
    let Ok(Value::Object(fields)) = serde_json::from_str(&line[start..]) else { return None };
    if fields.get("request_id")?.as_str()? != request_id {
        return None;
    }
    let timestamp = fields.get("timestamp").map(unquoted).unwrap_or_default();
    Some(LogRecord { timestamp, source: line[..start].trim().to_owned(), fields })
}

fn read(file: &str) -> Result<String, CommandError> {
    let failed = |source| CommandError::ReadFile { path: file.to_owned(), source };
    if file == STANDARD_INPUT {
        let mut text = String::new();
        std::io::stdin().read_to_string(&mut text).map_err(failed)?;
        return Ok(text);
    }
    std::fs::read(file).map(|bytes| String::from_utf8_lossy(&bytes).into_owned()).map_err(failed)
}
