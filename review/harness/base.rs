//! Shared parts of the stand-ins: HTTP, JSON, the store, gateway processes, the record.
//! Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

/// A JSON value.
#[derive(Debug, Clone, PartialEq)]
pub enum Json {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn parse(text: &str) -> Option<Json> {
        let bytes = text.as_bytes();
        let mut at = 0;
        parse_value(bytes, &mut at)
    }

    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields.iter().find(|(key, _)| key == name).map(|(_, v)| v),
            _ => None,
        }
    }

    pub fn text(&self) -> &str {
        match self {
            Json::Text(text) => text,
            _ => "",
        }
    }

    pub fn number(&self) -> f64 {
        match self {
            Json::Number(number) => *number,
            _ => 0.0,
        }
    }

    pub fn list(&self) -> &[Json] {
        match self {
            Json::List(list) => list,
            _ => &[],
        }
    }
}

fn skip_blanks(bytes: &[u8], at: &mut usize) {
    while *at < bytes.len() && bytes[*at].is_ascii_whitespace() {
        *at += 1;
    }
}

fn parse_value(bytes: &[u8], at: &mut usize) -> Option<Json> {
    skip_blanks(bytes, at);
    match bytes.get(*at)? {
        b'{' => {
            *at += 1;
            let mut fields = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match bytes.get(*at)? {
                    b'}' => {
                        *at += 1;
                        return Some(Json::Object(fields));
                    }
                    b',' => *at += 1,
                    _ => {
                        let Json::Text(name) = parse_value(bytes, at)? else { return None };
                        skip_blanks(bytes, at);
                        if bytes.get(*at)? != &b':' {
                            return None;
                        }
                        *at += 1;
                        fields.push((name, parse_value(bytes, at)?));
                    }
                }
            }
        }
        b'[' => {
            *at += 1;
            let mut list = Vec::new();
            loop {
                skip_blanks(bytes, at);
                match bytes.get(*at)? {
                    b']' => {
                        *at += 1;
                        return Some(Json::List(list));
                    }
                    b',' => *at += 1,
                    _ => list.push(parse_value(bytes, at)?),
                }
            }
        }
        b'"' => {
            *at += 1;
            let mut text = Vec::new();
            loop {
                match bytes.get(*at)? {
                    b'"' => {
                        *at += 1;
                        return Some(Json::Text(String::from_utf8(text).ok()?));
                    }
                    b'\\' => {
                        let escaped = *bytes.get(*at + 1)?;
                        text.push(match escaped {
                            b'n' => b'\n',
                            b't' => b'\t',
                            other => other,
                        });
                        *at += 2;
                    }
                    other => {
                        text.push(*other);
                        *at += 1;
                    }
                }
            }
        }
        b't' => {
            *at += 4;
            Some(Json::Bool(true))
        }
        b'f' => {
            *at += 5;
            Some(Json::Bool(false))
        }
        b'n' => {
            *at += 4;
            Some(Json::Null)
        }
        _ => {
            let start = *at;
            while *at < bytes.len()
                && matches!(bytes[*at], b'0'..=b'9' | b'-' | b'+' | b'.' | b'e' | b'E')
            {
                *at += 1;
            }
            std::str::from_utf8(&bytes[start..*at]).ok()?.parse().ok().map(Json::Number)
        }
    }
}

/// Base64 with padding.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index)) as usize & 63] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

/// The head of a request or an answer: its first line and its headers, with lower-case names.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: a request's target or an answer's status.
    pub fn second(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> Option<Head> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.line.is_empty() {
                continue;
            }
            return Some(head);
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads a body that has a length.
pub fn read_sized(reader: &mut impl Read, head: &Head) -> Option<Vec<u8>> {
    let length = head.header("content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    Some(body)
}

/// An answer as a client sees it.
#[derive(Debug, Clone, Default)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    /// True if the end of the body was shown as HTTP/1.1 shows it.
    pub is_complete: bool,
}

/// Reads an answer, as long as the connection gives any.
pub fn read_answer(reader: &mut impl BufRead) -> Option<Answer> {
    let head = read_head(reader)?;
    let status = head.second().parse().unwrap_or(0);
    let mut answer = Answer { status, head, ..Answer::default() };
    let chunked = answer.head.header("transfer-encoding").is_some_and(|it| it.contains("chunked"));
    if chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line).unwrap_or(0) == 0 {
                return Some(answer);
            }
            let Ok(length) = usize::from_str_radix(line.trim(), 16) else { return Some(answer) };
            if length == 0 {
                let mut end = String::new();
                answer.is_complete = reader.read_line(&mut end).unwrap_or(0) > 0;
                return Some(answer);
            }
            let mut chunk = vec![0; length + 2];
            if reader.read_exact(&mut chunk).is_err() {
                return Some(answer);
            }
            answer.body.extend_from_slice(&chunk[..length]);
        }
    }
    match answer.head.header("content-length").and_then(|it| it.parse::<usize>().ok()) {
        Some(length) => {
            let mut body = vec![0; length];
            let mut filled = 0;
            while filled < length {
                match reader.read(&mut body[filled..]) {
                    Ok(count) if count > 0 => filled += count,
                    _ => break,
                }
            }
            body.truncate(filled);
            answer.is_complete = filled == length;
            answer.body = body;
        }
        None => {
            let end = reader.read_to_end(&mut answer.body);
            answer.is_complete = end.is_ok();
        }
    }
    Some(answer)
}

/// Sends one request on a new connection and reads the answer.
pub fn request(address: SocketAddr, bytes: &[u8], timeout: Duration) -> Option<Answer> {
    let mut stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(timeout)).ok()?;
    stream.write_all(bytes).ok()?;
    read_answer(&mut BufReader::new(stream))
}

/// One row of the store.
#[derive(Debug, Clone)]
struct Row {
    /// Base64; `None` for a row that was removed.
    value: Option<String>,
    version: u64,
    written_at: Instant,
}

#[derive(Debug, Default)]
struct StoreState {
    rows: BTreeMap<(String, String), Row>,
    version: u64,
}

/// The platform's store: linearizable rows, feeds, conditional transactions, one part.
#[derive(Debug)]
pub struct Store {
    state: Mutex<StoreState>,
    changed: Condvar,
    started_at: Instant,
    pub address: SocketAddr,
}

/// Three heartbeats of silence remove a server's entry.
const ENTRY_EXPIRY: Duration = Duration::from_millis(3 * 1200);

impl Store {
    /// Starts a store on a free port.
    pub fn start() -> Arc<Store> {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("bound");
        let store = Arc::new(Store {
            state: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            address,
        });
        let serving = Arc::clone(&store);
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&serving);
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = Arc::clone(&store);
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        store
    }

    pub fn put(&self, table: &str, key: &str, value: &str) {
        self.write(table, key, Some(base64(value.as_bytes())));
    }

    fn write(&self, table: &str, key: &str, value: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let row = Row { value, version: state.version, written_at: Instant::now() };
        state.rows.insert((table.to_owned(), key.to_owned()), row);
        self.changed.notify_all();
    }

    fn expire(&self) {
        let silent: Vec<String> = {
            let state = self.state.lock().unwrap();
            let rows = state.rows.iter().filter(|((table, _), row)| {
                table == "servers" && row.value.is_some() && row.written_at.elapsed() > ENTRY_EXPIRY
            });
            rows.map(|((_, key), _)| key.clone()).collect()
        };
        for key in silent {
            self.write("servers", &key, None);
        }
    }

    /// Returns the keys of a table.
    pub fn keys(&self, table: &str) -> Vec<String> {
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter().filter(|((of, _), row)| of == table && row.value.is_some());
        rows.map(|((_, key), _)| key.clone()).collect()
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Some(head) = read_head(&mut reader) {
            let Some(body) = read_sized(&mut reader, &head) else { return };
            let target = head.second().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let (status, text) = match path {
                "/v1/rows-get" => (200, self.list(query)),
                "/v1/rows-feed" => (200, self.feed(query)),
                "/v1/rows-tx" => self.transact(&String::from_utf8_lossy(&body)),
                _ => (404, "{}".to_owned()),
            };
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{text}",
                text.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn now_ms(&self) -> u128 {
        1_000_000 + self.started_at.elapsed().as_millis()
    }

    fn list(&self, query: &str) -> String {
        let (table, from) = (parameter(query, "table"), parameter(query, "from"));
        let limit = parameter(query, "limit").parse().unwrap_or(500).min(500);
        let state = self.state.lock().unwrap();
        let rows: Vec<_> = state
            .rows
            .iter()
            .filter(|((of, key), row)| *of == table && *key >= from && row.value.is_some())
            .collect();
        let has_more = rows.len() > limit;
        let rows: Vec<String> = rows
            .into_iter()
            .take(limit)
            .map(|((_, key), row)| row_text(&table, key, row))
            .collect();
        format!(
            "{{\"rows\":[{}],\"hasMore\":{has_more},\"ver\":{},\"nowMs\":{}}}",
            rows.join(","),
            state.version,
            self.now_ms()
        )
    }

    fn feed(&self, query: &str) -> String {
        let table = parameter(query, "table");
        let after: u64 = parameter(query, "after").parse().unwrap_or(0);
        let wait: u64 = parameter(query, "waitMs").parse().unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait.min(30_000));
        let mut state = self.state.lock().unwrap();
        loop {
            let mut rows: Vec<_> = state
                .rows
                .iter()
                .filter(|((of, _), row)| *of == table && row.version > after)
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                rows.sort_by_key(|(_, row)| row.version);
                let rows: Vec<String> =
                    rows.into_iter().map(|((_, key), row)| row_text(&table, key, row)).collect();
                return format!(
                    "{{\"rows\":[{}],\"ver\":{},\"nowMs\":{}}}",
                    rows.join(","),
                    state.version,
                    self.now_ms()
                );
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(call) = Json::parse(body) else { return (400, "{}".to_owned()) };
        let entries = |name: &str| call.get(name).map(|it| it.list().to_vec()).unwrap_or_default();
        let field = |entry: &Json, name: &str| {
            entry.get(name).map(|it| it.text().to_owned()).unwrap_or_default()
        };
        let mut state = self.state.lock().unwrap();
        for entry in entries("expected") {
            let key = (field(&entry, "table"), field(&entry, "key"));
            let held = state.rows.get(&key).filter(|row| row.value.is_some());
            let version = held.map_or(0, |row| row.version);
            if version != entry.get("ver").map_or(0.0, Json::number) as u64 {
                let rows = held.map_or(String::new(), |row| row_text(&key.0, &key.1, row));
                let text = format!("{{\"rows\":[{rows}],\"ver\":{}}}", state.version);
                return (412, text);
            }
        }
        state.version += 1;
        let version = state.version;
        for (name, is_put) in [("put", true), ("remove", false)] {
            for entry in entries(name) {
                let key = (field(&entry, "table"), field(&entry, "key"));
                let value = is_put.then(|| field(&entry, "value"));
                state.rows.insert(key, Row { value, version, written_at: Instant::now() });
            }
        }
        self.changed.notify_all();
        (200, format!("{{\"ver\":{version},\"nowMs\":{}}}", self.now_ms()))
    }
}

fn row_text(table: &str, key: &str, row: &Row) -> String {
    let place =
        format!("\"table\":\"{table}\",\"part\":\"\",\"key\":\"{key}\",\"ver\":{}", row.version);
    match &row.value {
        Some(value) => format!("{{{place},\"value\":\"{value}\"}}"),
        None => format!("{{{place},\"removed\":true}}"),
    }
}

fn parameter(query: &str, name: &str) -> String {
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    let value = pairs.find(|(key, _)| *key == name).map(|(_, value)| value).unwrap_or("");
    let mut text = Vec::new();
    let bytes = value.as_bytes();
    let mut at = 0;
    while at < bytes.len() {
        let code = std::str::from_utf8(bytes.get(at + 1..at + 3).unwrap_or(b"")).unwrap_or("");
        match (bytes[at], u8::from_str_radix(code, 16)) {
            (b'%', Ok(byte)) => {
                text.push(byte);
                at += 3;
            }
            (byte, _) => {
                text.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&text).into_owned()
}

/// The record of a case: what was sent, answered and run.
#[derive(Debug)]
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    pub fn create(folder: &Path) -> Arc<Record> {
        let file = File::create(folder.join("record.txt")).unwrap_or_else(|_| give_up("no record"));
        Arc::new(Record { file: Mutex::new(file), started_at: Instant::now() })
    }

    pub fn line(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let _ = writeln!(self.file.lock().unwrap(), "{at:9.3} {text}");
    }

    /// Writes a line to the record and to standard output.
    pub fn say(&self, text: &str) {
        self.line(text);
        // Fails only if nobody reads it.
        let _ = writeln!(std::io::stdout(), "{text}");
    }
}

/// Ids of the processes that the case has started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Returns true while the process `id` is a child of this one: the id of an ended one may be used again.
fn is_child(id: u32) -> bool {
    let status = std::fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let parent = status.lines().find_map(|line| line.strip_prefix("PPid:"));
    parent.is_some_and(|parent| parent.trim() == std::process::id().to_string())
}

/// Ends the case, and the processes that it has started, as one that could not run.
pub fn give_up(problem: &str) -> ! {
    eprintln!("the case could not run: {problem}");
    for id in STARTED.lock().unwrap().iter().filter(|id| is_child(**id)) {
        let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
    }
    std::process::exit(2);
}

/// Processes that the case started; all are killed when it is dropped.
#[derive(Debug, Default)]
pub struct Processes {
    pub children: Vec<(String, Child)>,
}

impl Processes {
    pub fn add(&mut self, name: &str, child: Child) {
        STARTED.lock().unwrap().push(child.id());
        self.children.push((name.to_owned(), child));
    }

    pub fn child(&mut self, name: &str) -> &mut Child {
        let found = self.children.iter_mut().rev().find(|(of, _)| of == name);
        &mut found.expect("a process of that name").1
    }

    /// Sends a signal to a process by its id.
    pub fn signal(&mut self, name: &str, signal: &str) {
        if signal == "KILL" {
            let _ = self.child(name).kill();
            return;
        }
        let id = self.child(name).id().to_string();
        let _ = Command::new("kill").args([&format!("-{signal}"), &id]).status();
    }

    pub fn kill_all(&mut self) {
        for (_, child) in &mut self.children {
            let _ = child.kill();
            let _ = child.wait();
            STARTED.lock().unwrap().retain(|id| *id != child.id());
        }
        self.children.clear();
    }
}

impl Drop for Processes {
    fn drop(&mut self) {
        self.kill_all();
    }
}

/// Returns a port that is free at `ip` for TCP and UDP.
pub fn free_port(ip: &str) -> u16 {
    for _ in 0..50 {
        let Ok(listener) = TcpListener::bind((ip, 0)) else { break };
        let port = listener.local_addr().map(|it| it.port()).unwrap_or(0);
        if std::net::UdpSocket::bind((ip, port)).is_ok() {
            return port;
        }
    }
    give_up("no free port")
}

/// One gateway, started with the command of the deploy file.
#[derive(Debug, Clone)]
pub struct Gateway {
    pub name: String,
    pub zone: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub internal: SocketAddr,
    pub memory_mb: u64,
    pub grace_s: u64,
}

impl Gateway {
    /// Chooses addresses: a loopback address of its own for each gateway.
    pub fn plan(index: u32, zone: &str) -> Gateway {
        let ip = format!(
            "127.{}.{}.{}",
            64 + std::process::id() % 128,
            (std::process::id() / 128) % 250,
            index + 10
        );
        let at = |port: u16| format!("{ip}:{port}").parse().expect("an address");
        Gateway {
            name: format!("front-{zone}-{index}"),
            zone: zone.to_owned(),
            front: at(free_port(&ip)),
            ready: at(free_port(&ip)),
            internal: at(free_port(&ip)),
            memory_mb: 110,
            grace_s: 8,
        }
    }

    fn settings(&self, store: SocketAddr) -> String {
        let Gateway { name, zone, front, ready, internal, memory_mb, grace_s } = self;
        format!(
            "nodeName: \"{name}\"\nrole: \"gateway\"\nmachineClass: \"front\"\nserves:\n  - \"front\"\n\
             ip: \"{ip}\"\nzone: \"{zone}\"\nregion: \"tampere\"\nzones:\n  hall-a: \"tampere\"\n  \
             hall-b: \"tampere\"\n  hall-c: \"tampere\"\nlisten:\n  front: \"{front}\"\n  ready: \
             \"{ready}\"\ninternalPorts:\n  - {port}\n  - {port}\nseedNodes: []\nbootstrap: true\n\
             countsAsLoss: false\nlimits:\n  cpuShare: 0.25\n  cpuCores: 1\n  memoryMb: {memory_mb}\n  \
             maxFds: 4100\n  linkMbps: 1000.0\n  diskMb: 0\ndataDir: null\ndiscovery: \"platform\"\n\
             entryMode: \"virtual_ip\"\nheartbeatMs: 1200\ncontracts: [\"base\", \"drain\", \"config\", \
             \"cost\", \"retry\", \"recover\", \"split\", \"stream\", \"engine\", \"platform\"]\n\
             faultTolerance:\n  machines: 2\n  zones: 0\n  regions: 0\nbounds:\n  seedLagS: 3\n  \
             reuseAfterS: 2\n  stableWindowMs: 3000\n  ackMs: 4000\n  catchUpS: 4\n  drainMs: 2000\n  \
             graceS: {grace_s}\n  lossSlackMs: 200\n  configApplyMs: 2000\n  rollbackSlackMs: 250\n  \
             maxStretchMs: 5000\n  retryBudgetRatio: 0.2\n  budgetWindowS: 10\n  budgetSlack: 52\n  \
             recoveryS: 12\n  transitMs: 120\n  reuseWindowS: 3\n  fencingEnforced: false\n  leaseMs: \
             3000\n  thawMs: 300\nprovider:\n  address: \"{store}\"\n  form: \"table\"\n  writesPerS: \
             400\n  readsPerS: 2000\n  txMs: 5.0\n  partWritesPerS: 200\n  rowBytes: 65536\n  across: \
             false\n  historyS: 20\n  blobBytes: 8388608\n  blobMs: 25.0\n  blobMbPerS: 80.0\n",
            ip = front.ip(),
            port = internal.port(),
        )
    }

    /// Starts the process; its log goes to the temporary folder.
    pub fn start(&self, store: SocketAddr, folder: &Path, processes: &mut Processes) {
        let settings = folder.join(format!("{}.yaml", self.name));
        std::fs::write(&settings, self.settings(store)).unwrap_or_else(|_| give_up("no settings"));
        let log = std::fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(folder.join(format!("{}.log", self.name)))
            .unwrap_or_else(|_| give_up("no log"));
        let errors = log.try_clone().unwrap_or_else(|_| give_up("no log"));
        let child = Command::new("target/release/umberglade")
            .args(["gateway", "--metrics-port", "9464"])
            .env_clear()
            .env("PATH", std::env::var("PATH").unwrap_or_default())
            .env("UMBERGLADE_NODE_FILE", &settings)
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .unwrap_or_else(|_| give_up("the gateway does not start: build it first"));
        processes.add(&self.name, child);
    }

    pub fn is_ready(&self) -> bool {
        let bytes = format!("GET /v1/ready HTTP/1.1\r\nHost: {}\r\n\r\n", self.ready);
        request(self.ready, bytes.as_bytes(), Duration::from_millis(500))
            .is_some_and(|answer| answer.status == 200)
    }

    pub fn wait_ready(&self) {
        let until = Instant::now() + Duration::from_secs(15);
        while !self.is_ready() {
            if Instant::now() > until {
                give_up("a gateway is not ready");
            }
            std::thread::sleep(Duration::from_millis(50));
        }
    }
}

/// A temporary folder, removed when it is dropped.
#[derive(Debug)]
pub struct Scratch(pub PathBuf);

impl Scratch {
    pub fn create() -> Scratch {
        let path = std::env::temp_dir().join(format!("review-{}", std::process::id()));
        std::fs::create_dir_all(&path).unwrap_or_else(|_| give_up("no temporary folder"));
        Scratch(path)
    }
}

impl Drop for Scratch {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.0);
        } else {
            println!("logs: {}", self.0.display());
        }
    }
}

/// The operator's configuration: one host, a model service and an application service.
pub fn configuration(version: u64, call_timeout_ms: u64) -> String {
    format!(
        "{{\"version\":{version},\"routes\":[\
         {{\"name\":\"r-brief\",\"host\":\"desk.example\",\"prefix\":\"/brief/\",\"kind\":\"stream\",\
         \"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"service\":\"brief-model\",\
         \"maxAttempts\":2,\"sticky\":true,\"resumable\":true,\"targetGapMs\":300}},\
         {{\"name\":\"r-cover\",\"host\":\"desk.example\",\"prefix\":\"/cover/\",\"kind\":\"stream\",\
         \"timeoutMs\":14000,\"targetLatencyMs\":900,\"priority\":1,\"service\":\"brief-model\",\
         \"maxAttempts\":1,\"sticky\":true,\"resumable\":false,\"targetGapMs\":300}},\
         {{\"name\":\"r-slot\",\"host\":\"desk.example\",\"prefix\":\"/slot/\",\"kind\":\"unsafe\",\
         \"timeoutMs\":{call_timeout_ms},\"targetLatencyMs\":100,\"priority\":2,\
         \"service\":\"booking-desk\",\"maxAttempts\":1,\"resumable\":false}},\
         {{\"name\":\"r-deposit\",\"host\":\"desk.example\",\"prefix\":\"/deposit/\",\"kind\":\"safe\",\
         \"timeoutMs\":{call_timeout_ms},\"targetLatencyMs\":100,\"priority\":2,\
         \"service\":\"booking-desk\",\"maxAttempts\":2,\"resumable\":false}}],\
         \"services\":[{{\"name\":\"brief-model\",\"healthPath\":\"/healthz\",\"maxConnections\":160,\
         \"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":16,\"kvTokens\":76702,\
         \"tokenKvBytes\":18432,\"linkMbps\":2200000.0,\"moves\":true,\"backups\":true,\"stride\":50,\
         \"most\":12,\"handleTtlS\":0.5,\"switchS\":6.0,\"pinMs\":4000.0,\"holdMs\":2000.0,\
         \"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"booking-desk\",\"healthPath\":\"/healthz\",\"maxConnections\":96,\
         \"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}}}}"
    )
}
