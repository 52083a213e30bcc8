//! What the scripts of this review share: a store, a plain HTTP/1.1 server and client, and the
//! processes of the gateway. Standard library only.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::fs;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;

pub const SIGHUP: i32 = 1;
pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Exit status of a case that could not run.
pub const COULD_NOT_RUN: i32 = 2;

static START: OnceLock<Instant> = OnceLock::new();
static RECORD: Mutex<Option<fs::File>> = Mutex::new(None);
/// The processes that were started and may still run.
static STARTED: Mutex<Vec<i32>> = Mutex::new(Vec::new());
/// A case that runs for longer is ended.
const LONGEST_RUN: Duration = Duration::from_secs(110);

/// Milliseconds since the case began.
pub fn now_ms() -> u64 {
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

/// Begins `record.txt` in `folder`.
pub fn begin_record(folder: &str) {
    now_ms();
    thread::spawn(|| {
        thread::sleep(LONGEST_RUN);
        give_up("it runs for too long");
    });
    std::panic::set_hook(Box::new(|info| give_up(&info.to_string())));
    let path = format!("{folder}/record.txt");
    match fs::File::create(&path) {
        Ok(file) => *RECORD.lock().unwrap() = Some(file),
        Err(error) => give_up(&format!("{path}: {error}")),
    }
}

/// Writes one line to the record.
pub fn record(line: &str) {
    if let Some(file) = RECORD.lock().unwrap().as_mut() {
        let _ = writeln!(file, "{:>7} ms  {line}", now_ms());
    }
}

/// Ends the process, since the case can't run.
pub fn give_up(problem: &str) -> ! {
    record(&format!("could not run: {problem}"));
    eprintln!("could not run: {problem}");
    end_processes();
    std::process::exit(COULD_NOT_RUN)
}

/// Kills the processes that were started.
fn end_processes() {
    for pid in std::mem::take(&mut *STARTED.lock().unwrap_or_else(|held| held.into_inner())) {
        unsafe {
            kill(pid, SIGKILL);
        }
    }
}

/// False if the case runs without its disruption.
pub fn has_trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

pub fn sleep_ms(millis: u64) {
    thread::sleep(Duration::from_millis(millis));
}

// ---------------------------------------------------------------- JSON

#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Table(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let mut at = 0;
        parse_value(text.as_bytes(), &mut at)
    }

    pub fn get(&self, name: &str) -> &Json {
        match self {
            Json::Table(fields) => {
                fields.iter().find(|(key, _)| key == name).map_or(&Json::Null, |(_, value)| value)
            }
            _ => &Json::Null,
        }
    }

    pub fn text(&self) -> &str {
        if let Json::Text(text) = self { text } else { "" }
    }

    pub fn number(&self) -> f64 {
        if let Json::Number(number) = self { *number } else { 0.0 }
    }

    pub fn list(&self) -> &[Json] {
        if let Json::List(list) = self { list } else { &[] }
    }
}

fn skip_blanks(text: &[u8], at: &mut usize) {
    while text.get(*at).is_some_and(u8::is_ascii_whitespace) {
        *at += 1;
    }
}

fn parse_value(text: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(text, at);
    match text.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Table(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let key = parse_text(text, at)?;
                        skip_blanks(text, at);
                        *at += 1;
                        fields.push((key, parse_value(text, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_blanks(text, at);
                match text.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(text, at)?),
                }
            }
        }
        b'"' => parse_text(text, at).map(Json::Text),
        _ => {
            let from = *at;
            while text.get(*at).is_some_and(|byte| !b",]} \t\r\n".contains(byte)) {
                *at += 1;
            }
            match std::str::from_utf8(&text[from..*at]).ok()? {
                "true" => Some(Json::Bool(true)),
                "false" => Some(Json::Bool(false)),
                "null" => Some(Json::Null),
                number => number.parse().ok().map(Json::Number),
            }
        }
    }
}

fn parse_text(text: &[u8], at: &mut usize) -> Option<String> {
    if *text.get(*at)? != b'"' {
        return None;
    }
    *at += 1;
    let mut bytes = Vec::new();
    loop {
        match *text.get(*at)? {
            b'"' => {
                *at += 1;
                return String::from_utf8(bytes).ok();
            }
            b'\\' => {
                let escaped = *text.get(*at + 1)?;
                *at += 2;
                match escaped {
                    b'n' => bytes.push(b'\n'),
                    b'r' => bytes.push(b'\r'),
                    b't' => bytes.push(b'\t'),
                    b'u' => {
                        let hex = std::str::from_utf8(text.get(*at..*at + 4)?).ok()?;
                        let code = u32::from_str_radix(hex, 16).ok()?;
                        *at += 4;
                        let letter = char::from_u32(code).unwrap_or('?');
                        bytes.extend_from_slice(letter.to_string().as_bytes());
                    }
                    other => bytes.push(other),
                }
            }
            byte => {
                bytes.push(byte);
                *at += 1;
            }
        }
    }
}

pub fn base64(bytes: &[u8]) -> String {
    const LETTERS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let mut group = [0; 3];
        group[..chunk.len()].copy_from_slice(chunk);
        let bits = u32::from(group[0]) << 16 | u32::from(group[1]) << 8 | u32::from(group[2]);
        for index in 0..4 {
            if index <= chunk.len() {
                text.push(LETTERS[(bits >> (18 - 6 * index) & 63) as usize] as char);
            } else {
                text.push('=');
            }
        }
    }
    text
}

// ---------------------------------------------------------------- HTTP

#[derive(Debug, Clone, Default)]
pub struct Request {
    pub method: String,
    pub target: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    /// The header `name`, in lower case; empty if there is none.
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }

    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> String {
        let query = self.target.split_once('?').map_or("", |(_, query)| query);
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let found = pairs.into_iter().find(|(key, _)| *key == name);
        found.map_or_else(String::new, |(_, value)| percent_decoded(value))
    }
}

fn percent_decoded(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = text.get(at + 1..at + 3).and_then(|hex| u8::from_str_radix(hex, 16).ok());
        match (bytes[at], hex) {
            (b'%', Some(byte)) => {
                decoded.push(byte);
                at += 3;
            }
            (byte, _) => {
                decoded.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// A connection whose bytes are read in pieces.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut piece = [0; 16 * 1024];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count)
    }

    fn read_line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                let text = String::from_utf8_lossy(&line).trim_end().to_owned();
                return Ok(Some(text));
            }
            if self.fill()? == 0 {
                return Ok(None);
            }
        }
    }

    fn read_exact(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_headers(&mut self) -> io::Result<Vec<(String, String)>> {
        let mut headers = Vec::new();
        loop {
            let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            if line.is_empty() {
                return Ok(headers);
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }

    fn read_chunks(&mut self, mut take: impl FnMut(&[u8])) -> io::Result<()> {
        loop {
            let line = self.read_line()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            if size == 0 {
                self.read_headers()?;
                return Ok(());
            }
            let piece = self.read_exact(size)?;
            take(&piece);
            self.read_line()?;
        }
    }

    /// Reads a request; `None` at the end of the connection.
    pub fn read_request(&mut self) -> io::Result<Option<Request>> {
        let line = match self.read_line()? {
            None => return Ok(None),
            Some(line) if line.is_empty() => return self.read_request(),
            Some(line) => line,
        };
        let mut words = line.split(' ');
        let method = words.next().unwrap_or_default().to_owned();
        let target = words.next().unwrap_or_default().to_owned();
        let headers = self.read_headers()?;
        let mut request = Request { method, target, headers, body: Vec::new() };
        if request.header("transfer-encoding").eq_ignore_ascii_case("chunked") {
            let mut body = Vec::new();
            self.read_chunks(|piece| body.extend_from_slice(piece))?;
            request.body = body;
        } else if let Ok(length) = request.header("content-length").parse() {
            request.body = self.read_exact(length)?;
        }
        Ok(Some(request))
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Writes an answer with a length.
    pub fn answer(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> io::Result<()> {
        let mut text = format!("HTTP/1.1 {status} {}\r\n", reason(status));
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
        let mut bytes = text.into_bytes();
        bytes.extend_from_slice(body);
        self.write(&bytes)
    }

    /// Returns true if the peer has closed the connection, without waiting.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        let _ = self.stream.set_nonblocking(true);
        let peeked = self.stream.peek(&mut byte);
        let _ = self.stream.set_nonblocking(false);
        match peeked {
            Ok(count) => count == 0,
            Err(error) => error.kind() != io::ErrorKind::WouldBlock,
        }
    }
}

fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        410 => "Gone",
        412 => "Precondition Failed",
        421 => "Misdirected Request",
        500 => "Internal Server Error",
        503 => "Service Unavailable",
        _ => "Status",
    }
}

/// Serves each connection of `listener` in a thread, with `serve`.
pub fn listen(listener: TcpListener, serve: impl Fn(Connection) + Send + Sync + 'static) {
    let serve = Arc::new(serve);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let serve = Arc::clone(&serve);
            thread::spawn(move || serve(Connection::new(stream)));
        }
    });
}

/// What a client got.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// True if the body ended as its head says.
    pub is_whole: bool,
}

impl Answer {
    pub fn header(&self, name: &str) -> &str {
        self.headers.iter().find(|(key, _)| key == name).map_or("", |(_, value)| value)
    }
}

/// How a client's attempt ended.
#[derive(Debug, Clone)]
pub enum Outcome {
    Answered(Answer),
    /// No connection was opened: nothing was sent.
    NotConnected(String),
    /// The connection ended without a head.
    Cut(String),
    /// The client's time was over.
    TimedOut,
}

impl Outcome {
    pub fn label(&self) -> String {
        match self {
            Outcome::Answered(answer) if answer.is_whole => format!("{} whole", answer.status),
            Outcome::Answered(answer) => {
                format!("{} CUT after {} bytes", answer.status, answer.body.len())
            }
            Outcome::NotConnected(problem) => format!("no connection ({problem})"),
            Outcome::Cut(problem) => format!("CUT without an answer ({problem})"),
            Outcome::TimedOut => "client's deadline".to_owned(),
        }
    }
}

/// Sends `text` on a new connection to `address` and reads the answer until `timeout`. Calls
/// `on_body` with each piece of the body.
pub fn exchange(
    address: SocketAddr,
    text: &[u8],
    timeout: Duration,
    on_body: impl FnMut(&[u8]),
) -> Outcome {
    match TcpStream::connect_timeout(&address, Duration::from_secs(1)) {
        Err(error) => Outcome::NotConnected(error.kind().to_string()),
        Ok(stream) => exchange_on(&mut Connection::new(stream), text, timeout, on_body),
    }
}

/// Like [`exchange`], on an open connection.
pub fn exchange_on(
    connection: &mut Connection,
    text: &[u8],
    timeout: Duration,
    on_body: impl FnMut(&[u8]),
) -> Outcome {
    let _ = connection.stream.set_read_timeout(Some(timeout));
    if let Err(error) = connection.write(text) {
        return Outcome::Cut(error.kind().to_string());
    }
    read_answer(connection, on_body)
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut)
}

fn read_answer(connection: &mut Connection, mut on_body: impl FnMut(&[u8])) -> Outcome {
    let line = match connection.read_line() {
        Ok(Some(line)) => line,
        Ok(None) => return Outcome::Cut("closed".to_owned()),
        Err(error) if is_timeout(&error) => return Outcome::TimedOut,
        Err(error) => return Outcome::Cut(error.kind().to_string()),
    };
    let status = line.split(' ').nth(1).and_then(|word| word.parse().ok()).unwrap_or(0);
    let headers = match connection.read_headers() {
        Ok(headers) => headers,
        Err(error) => return Outcome::Cut(format!("in the head: {}", error.kind())),
    };
    let mut answer = Answer { status, headers, body: Vec::new(), is_whole: false };
    let is_chunked = answer.header("transfer-encoding").eq_ignore_ascii_case("chunked");
    let length: Option<usize> = answer.header("content-length").parse().ok();
    let body = &mut answer.body;
    let read = if is_chunked {
        connection.read_chunks(|piece| {
            body.extend_from_slice(piece);
            on_body(piece);
        })
    } else if let Some(length) = length {
        connection.read_exact(length).map(|piece| {
            body.extend_from_slice(&piece);
            on_body(&piece);
        })
    } else {
        // Ends with the connection.
        loop {
            let rest = std::mem::take(&mut connection.buffer);
            body.extend_from_slice(&rest);
            on_body(&rest);
            match connection.fill() {
                Ok(0) => break Ok(()),
                Ok(_) => {}
                Err(error) => break Err(error),
            }
        }
    };
    answer.is_whole = read.is_ok();
    Outcome::Answered(answer)
}

// ---------------------------------------------------------------- the store

#[derive(Debug, Clone)]
struct Row {
    value: Option<String>,
    ver: u64,
}

#[derive(Debug, Default)]
struct Rows {
    ver: u64,
    /// By table and key; without a value once removed.
    rows: BTreeMap<(String, String), Row>,
}

impl Rows {
    fn set(&mut self, table: &str, key: &str, value: Option<String>) {
        self.ver += 1;
        let row = Row { value, ver: self.ver };
        self.rows.insert((table.to_owned(), key.to_owned()), row);
    }

    fn version_of(&self, table: &str, key: &str) -> u64 {
        let row = self.rows.get(&(table.to_owned(), key.to_owned()));
        row.filter(|row| row.value.is_some()).map_or(0, |row| row.ver)
    }
}

/// The platform's store: rows of empty parts, kept in memory, nothing lost.
#[derive(Debug, Default)]
pub struct Store {
    rows: Mutex<Rows>,
    changed: Condvar,
    /// True while the store answers nothing: calls that come meanwhile are never answered nor done.
    is_silent: AtomicBool,
}

impl Store {
    pub fn start() -> (Arc<Store>, SocketAddr) {
        let store = Arc::new(Store::default());
        let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| give_up(&e.to_string()));
        let address = listener.local_addr().unwrap();
        let served = Arc::clone(&store);
        listen(listener, move |connection| served.serve(connection));
        (store, address)
    }

    /// Writes a row as the operator or a server does.
    pub fn put(&self, table: &str, key: &str, json: &str) {
        self.rows.lock().unwrap().set(table, key, Some(base64(json.as_bytes())));
        self.changed.notify_all();
    }

    pub fn remove(&self, table: &str, key: &str) {
        self.rows.lock().unwrap().set(table, key, None);
        self.changed.notify_all();
    }

    /// Makes the store silent, or ends its silence.
    pub fn set_silent(&self, is_silent: bool) {
        record(&format!("the store is silent: {is_silent}"));
        self.is_silent.store(is_silent, Ordering::Release);
    }

    fn serve(&self, mut connection: Connection) {
        while let Ok(Some(request)) = connection.read_request() {
            if self.is_silent.load(Ordering::Acquire) {
                // Delivers nothing further on this connection, which stays open.
                while let Ok(Some(_)) = connection.read_request() {}
                return;
            }
            let (status, body) = match request.path() {
                "/v1/rows-get" => self.list(&request),
                "/v1/rows-feed" => self.feed(&request),
                "/v1/rows-tx" => self.transact(&request),
                _ => (404, "{}".to_owned()),
            };
            let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
            if connection.answer(status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn list(&self, request: &Request) -> (u16, String) {
        let (table, from) = (request.query("table"), request.query("from"));
        let target = request.query("target");
        let limit = request.query("limit").parse().unwrap_or(500).min(500);
        let rows = self.rows.lock().unwrap();
        let mut found = Vec::new();
        let mut has_more = false;
        for ((of, key), row) in &rows.rows {
            let is_in_range = *key >= from && (target.is_empty() || *key < target);
            if *of != table || !is_in_range || row.value.is_none() {
                continue;
            }
            if found.len() == limit {
                has_more = true;
                break;
            }
            found.push(row_json(of, key, row));
        }
        let rows_json = found.join(",");
        let (ver, now) = (rows.ver, now_ms());
        let body =
            format!("{{\"rows\":[{rows_json}],\"hasMore\":{has_more},\"ver\":{ver},\"nowMs\":{now}}}");
        (200, body)
    }

    fn feed(&self, request: &Request) -> (u16, String) {
        let table = request.query("table");
        let after: u64 = request.query("after").parse().unwrap_or(0);
        let wait: u64 = request.query("waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut rows = self.rows.lock().unwrap();
        loop {
            let mut changes: Vec<(u64, String)> = rows
                .rows
                .iter()
                .filter(|((of, _), row)| *of == table && row.ver > after)
                .map(|((of, key), row)| (row.ver, row_json(of, key, row)))
                .collect();
            changes.sort();
            let left = until.saturating_duration_since(Instant::now());
            if !changes.is_empty() || left.is_zero() {
                let texts: Vec<String> = changes.into_iter().map(|(_, text)| text).collect();
                let (ver, now) = (rows.ver, now_ms());
                let body = format!(
                    "{{\"rows\":[{}],\"ver\":{ver},\"nowMs\":{now}}}",
                    texts.join(",")
                );
                return (200, body);
            }
            rows = self.changed.wait_timeout(rows, left).unwrap().0;
        }
    }

    fn transact(&self, request: &Request) -> (u16, String) {
        let text = String::from_utf8_lossy(&request.body);
        let Some(call) = Json::parse(&text) else { return (400, "{}".to_owned()) };
        let names = |row: &Json| (row.get("table").text().to_owned(), row.get("key").text().to_owned());
        let mut rows = self.rows.lock().unwrap();
        for row in call.get("expected").list() {
            let (table, key) = names(row);
            if rows.version_of(&table, &key) != row.get("ver").number() as u64 {
                return (412, format!("{{\"rows\":[],\"ver\":{},\"nowMs\":{}}}", rows.ver, now_ms()));
            }
        }
        for row in call.get("put").list() {
            let (table, key) = names(row);
            if table == "op" || table == "servers" {
                return (403, "{}".to_owned());
            }
            rows.set(&table, &key, Some(row.get("value").text().to_owned()));
        }
        for row in call.get("remove").list() {
            let (table, key) = names(row);
            rows.set(&table, &key, None);
        }
        let ver = rows.ver;
        drop(rows);
        self.changed.notify_all();
        (200, format!("{{\"ver\":{ver},\"nowMs\":{}}}", now_ms()))
    }
}

fn row_json(table: &str, key: &str, row: &Row) -> String {
    let ver = row.ver;
    let names = format!("\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{ver}");
    match &row.value {
        Some(value) => format!("{{{names},\"value\":\"{value}\"}}"),
        None => format!("{{{names},\"removed\":true}}"),
    }
}

// ---------------------------------------------------------------- servers' rows

/// A server's registration, renewed until it is dropped from `Heartbeats`.
pub struct Registration {
    pub id: String,
    pub service: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// Empty for plain services.
    pub stage: String,
    pub software: String,
}

impl Registration {
    pub fn json(&self, state: &str, sequence: u64) -> String {
        let Registration { service, address, zone, slots, stage, software, .. } = self;
        let engine = if stage.is_empty() {
            String::new()
        } else {
            format!(
                "\"stage\":\"{stage}\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],"
            )
        };
        format!(
            "{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\
             \"version\":\"{software}\",\"slots\":{slots},\"state\":\"{state}\",\
             \"coldRemainingMs\":0,{engine}\"sequence\":{sequence}}}"
        )
    }
}

/// Registers `server` as ready and renews its row each 1.2 s while the case runs.
pub fn keep_registered(store: &Arc<Store>, server: Registration) {
    let store = Arc::clone(store);
    store.put("servers", &server.id, &server.json("ready", 0));
    thread::spawn(move || {
        for sequence in 1.. {
            sleep_ms(1200);
            store.put("servers", &server.id, &server.json("ready", sequence));
        }
    });
}

// ---------------------------------------------------------------- gateways

/// A gateway's process.
pub struct Gateway {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    child: Mutex<Child>,
    pid: i32,
}

/// Settings of a small deployment that differ between cases.
pub struct Settings {
    /// A temporary folder for settings files and logs.
    pub folder: PathBuf,
    pub store: SocketAddr,
    pub heartbeat_ms: u64,
    pub memory_mb: u64,
}

/// Returns a temporary folder.
pub fn temporary_folder() -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-2-{}", std::process::id()));
    if let Err(error) = fs::create_dir_all(&folder) {
        give_up(&error.to_string());
    }
    folder
}

/// Returns three different ports that are free at `ip`.
fn free_ports(ip: IpAddr) -> [u16; 3] {
    let bind = |_| TcpListener::bind((ip, 0)).unwrap_or_else(|e| give_up(&e.to_string()));
    let listeners = [0, 1, 2].map(bind);
    listeners.each_ref().map(|listener| listener.local_addr().unwrap().port())
}

impl Gateway {
    /// Starts gateway number `index` in `zone` with the command of the deploy file, and waits until
    /// it is ready.
    pub fn start(settings: &Settings, index: u8, zone: &str) -> Gateway {
        // A port may be taken between the choice and the start.
        let mut attempts = (0..3).map(|_| Gateway::try_start(settings, index, zone));
        attempts.find_map(|gateway| gateway).unwrap_or_else(|| give_up("the gateway does not start"))
    }

    fn try_start(settings: &Settings, index: u8, zone: &str) -> Option<Gateway> {
        let ip = IpAddr::V4(Ipv4Addr::new(127, 83, (std::process::id() % 200) as u8 + 1, index + 1));
        let [front, ready, internal] = free_ports(ip);
        let (front, ready) = (SocketAddr::new(ip, front), SocketAddr::new(ip, ready));
        let name = format!("front-{zone}-{index}");
        let text = format!(
            "nodeName: \"{name}\"\nrole: \"gateway\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"tampere\"\nzones:\n  {zone}: \"tampere\"\n\
             listen:\n  front: \"{front}\"\n  ready: \"{ready}\"\ninternalPorts:\n  - {internal}\n  \
             - {internal}\nseedNodes: []\nbootstrap: true\nlimits:\n  cpuShare: 0.25\n  cpuCores: 1\n  \
             memoryMb: {}\n  maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\n\
             discovery: \"platform\"\nentryMode: \"virtual_ip\"\nheartbeatMs: {}\nbounds:\n  \
             seedLagS: 3\n  reuseAfterS: 2\n  stableWindowMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  \
             drainMs: 2000\n  graceS: 8\n  lossSlackMs: 200\n  configApplyMs: 2000\n  \
             rollbackSlackMs: 250\n  maxStretchMs: 5000\n  retryBudgetRatio: 0.2\n  \
             budgetWindowS: 10\n  budgetSlack: 52\n  recoveryS: 12\n  transitMs: 120\n  \
             reuseWindowS: 3\n  fencingEnforced: false\n  leaseMs: 3000\n  thawMs: 300\nprovider:\n  \
             address: \"{}\"\n  form: \"table\"\n  writesPerS: 400\n  readsPerS: 2000\n  txMs: 5.0\n  \
             partWritesPerS: 200\n  rowBytes: 65536\n  across: false\n  historyS: 20\n",
            settings.memory_mb, settings.heartbeat_ms, settings.store
        );
        let file = settings.folder.join(format!("{name}.yaml"));
        if let Err(error) = fs::write(&file, text) {
            give_up(&error.to_string());
        }
        let log = |kind: &str| {
            let path = settings.folder.join(format!("{name}.{kind}"));
            fs::File::create(path).unwrap_or_else(|error| give_up(&error.to_string()))
        };
        let child = Command::new("target/release/umberglade")
            .args(["gateway", "--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("HOME", std::env::var("HOME").unwrap_or_default())
            .env("UMBERGLADE_NODE_FILE", &file)
            .stdin(Stdio::null())
            .stdout(log("out"))
            .stderr(log("err"))
            .spawn();
        let child = child.unwrap_or_else(|error| give_up(&format!("the gateway: {error}")));
        let pid = child.id() as i32;
        STARTED.lock().unwrap().push(pid);
        let gateway = Gateway { name, front, ready, child: Mutex::new(child), pid };
        let deadline = Instant::now() + Duration::from_secs(10);
        while !gateway.is_ready() {
            if gateway.has_ended() {
                return None;
            }
            if Instant::now() > deadline {
                give_up("the gateway is not ready after 10 s");
            }
            sleep_ms(20);
        }
        record(&format!("{} serves at {front}", gateway.name));
        Some(gateway)
    }

    /// Asks as the platform does.
    pub fn is_ready(&self) -> bool {
        let text = format!("GET /v1/ready HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ready);
        let outcome = exchange(self.ready, text.as_bytes(), Duration::from_secs(1), |_| {});
        matches!(outcome, Outcome::Answered(answer) if answer.status == 200)
    }

    pub fn id(&self) -> u32 {
        self.pid as u32
    }

    pub fn signal(&self, signal: i32) {
        record(&format!("signal {signal} to {}", self.name));
        unsafe {
            kill(self.pid, signal);
        }
    }

    /// Returns true if the process has ended.
    pub fn has_ended(&self) -> bool {
        let has_ended = self.child.lock().unwrap().try_wait().is_ok_and(|status| status.is_some());
        if has_ended {
            // Its number may be another process's from now on.
            STARTED.lock().unwrap().retain(|pid| *pid != self.pid);
        }
        has_ended
    }
}

/// Ends the case: removes the folder of `settings` and exits with 1 if the rule was broken.
pub fn finish(settings: &Settings, is_broken: bool, verdict: &str) -> ! {
    end_processes();
    record(verdict);
    println!("{verdict}");
    if std::env::var("KEEP").is_err() {
        let _ = fs::remove_dir_all(&settings.folder);
    }
    std::process::exit(i32::from(is_broken))
}
