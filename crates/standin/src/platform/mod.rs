//! The platform stand-in: a transactional table service with conditional writes and a change feed,
//! an object store, and a list of live and leaving instances that shows changes after a delay.
//!
//! It rejects calls over its rate limits with 429 and calls during an injected outage with 503. It
//! can also delay responses, stall, and lose the reply to a write that took effect: the connection
//! then stalls until the caller times out.

mod instances;
mod objects;
mod query;
mod table;

use std::borrow::Cow;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use bytes::Bytes;
use event_listener::Event;
use futures_lite::FutureExt;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use hyper::body::Incoming;
use percent_encoding::percent_decode_str;
use umberglade_wire::platform::FaultPlan;
use umberglade_wire::platform::InstanceEntry;
use umberglade_wire::platform::ObjectList;
use umberglade_wire::platform::PlatformUsage;
use umberglade_wire::platform::RowList;
use umberglade_wire::platform::RowRemoval;
use umberglade_wire::platform::RowRemovals;
use umberglade_wire::platform::RowWrite;
use umberglade_wire::reply;
use umberglade_wire::reply::ReplyBody;
use umberglade_wire::server::RequestHandler;
use umberglade_wire::server::parse_or_reject;
use umberglade_wire::server::read_body_or_reject;

pub use self::instances::InstanceRegistry;
pub use self::objects::ObjectStore;
use self::query::CallQuery;
pub use self::table::RowTable;
use crate::rate::RateWindow;

/// The number of writes per second that the platform accepts ("several hundred").
pub const DEFAULT_WRITES_PER_SECOND: u32 = 400;
/// The number of reads per second that the platform accepts ("about two thousand").
pub const DEFAULT_READS_PER_SECOND: u32 = 2000;
/// How long a call stalls when its reply is lost or the stand-in is set to be silent.
const LOST_REPLY_DELAY: Duration = Duration::from_secs(30);
/// How often a long poll of the instance list checks for changes. They become visible by the
/// passage of time (the lag of the list), so no write can wake the poll.
const INSTANCE_POLL_INTERVAL: Duration = Duration::from_millis(50);
/// The `Retry-After` of rejections, in seconds.
const RETRY_AFTER_S: u64 = 1;

/// Settings of the platform stand-in.
#[derive(Debug, Clone)]
pub struct PlatformConfig {
    pub reads_per_second: u32,
    pub writes_per_second: u32,
    /// The time after which a change is visible in the instance list.
    pub instance_lag: Duration,
}

impl Default for PlatformConfig {
    fn default() -> Self {
        PlatformConfig {
            reads_per_second: DEFAULT_READS_PER_SECOND,
            writes_per_second: DEFAULT_WRITES_PER_SECOND,
            instance_lag: Duration::from_secs(2),
        }
    }
}

/// The platform stand-in. Lock order: `faults`, `table`, `instances`, `objects`; no call holds two
/// locks at once.
#[derive(Debug)]
pub struct PlatformStandin {
    table: Mutex<RowTable>,
    /// Notified after each accepted write to `table`.
    row_written: Event,
    instances: Mutex<InstanceRegistry>,
    objects: Mutex<ObjectStore>,
    faults: Mutex<FaultPlan>,
    reads: RateWindow,
    writes: RateWindow,
    usage: UsageCounters,
}

#[derive(Debug, Default)]
struct UsageCounters {
    reads: AtomicU64,
    writes: AtomicU64,
    refused: AtomicU64,
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
}

impl PlatformStandin {
    /// Creates a stand-in with empty tables.
    pub fn new(config: PlatformConfig) -> Self {
        PlatformStandin {
            table: Mutex::new(RowTable::default()),
            row_written: Event::new(),
            instances: Mutex::new(InstanceRegistry::new(config.instance_lag)),
            objects: Mutex::new(ObjectStore::default()),
            faults: Mutex::new(FaultPlan::default()),
            reads: RateWindow::new(config.reads_per_second),
            writes: RateWindow::new(config.writes_per_second),
            usage: UsageCounters::default(),
        }
    }

    fn faults(&self) -> FaultPlan {
        self.faults.lock().expect("faults lock").clone()
    }

    async fn route(
        &self,
        method: &Method,
        path: &str,
        query: Option<&str>,
        body: Bytes,
    ) -> Response<ReplyBody> {
        let decoded: Vec<Cow<str>> = path
            .trim_matches('/')
            .split('/')
            .map(|segment| percent_decode_str(segment).decode_utf8_lossy())
            .collect();
        let segments: Vec<&str> = decoded.iter().map(AsRef::as_ref).collect();
        let query = CallQuery::parse(query.unwrap_or_default());
        match (method, segments.as_slice()) {
            (&Method::POST, ["v1", "faults"]) => self.set_faults(&body),
            (&Method::GET, ["v1", "usage"]) => reply::json(StatusCode::OK, &self.usage()),
            (method, ["v1", ..]) => self.service_call(method, &segments[1..], &query, body).await,
            _ => not_found_response(),
        }
    }

    async fn service_call(
        &self,
        method: &Method,
        segments: &[&str],
        query: &CallQuery,
        body: Bytes,
    ) -> Response<ReplyBody> {
        let faults = self.faults();
        if faults.silent {
            smol::Timer::after(LOST_REPLY_DELAY).await;
        }
        if faults.delay_ms > 0 {
            smol::Timer::after(Duration::from_millis(faults.delay_ms)).await;
        }
        if faults.outage {
            return self.reject(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        let is_write = method != Method::GET;
        let admitted = if is_write { self.writes.admit() } else { self.reads.admit() };
        if !admitted {
            return self.reject(StatusCode::TOO_MANY_REQUESTS, "over rate");
        }
        let counter = if is_write { &self.usage.writes } else { &self.usage.reads };
        counter.fetch_add(1, Ordering::Relaxed);
        let response = match (method, segments) {
            (&Method::GET, ["rows", table, key]) => self.get_row(table, key),
            (&Method::GET, ["rows", table]) => self.list_rows(table, query),
            (&Method::POST, ["rows", table, "remove"]) => {
                match parse_or_reject::<RowRemovals>(&body) {
                    Ok(removals) => self.remove_rows(table, &removals.rows),
                    Err(rejection) => rejection,
                }
            }
            (&Method::PUT, ["rows", table, key]) => self.put_row(table, key, &body),
            (&Method::DELETE, ["rows", table, key]) => {
                let removal = RowRemoval { key: (*key).to_owned(), version: query.version };
                self.remove_rows(table, &[removal])
            }
            (&Method::GET, ["feed", table]) => self.feed(table, query).await,
            (&Method::GET, ["instances"]) => self.list_instances(query).await,
            (&Method::GET, ["objects"]) => self.list_objects(&query.prefix),
            (&Method::GET, ["objects", name]) => self.get_object(name),
            (&Method::PUT, ["objects", name]) => self.put_object(name, body),
            (&Method::DELETE, ["objects", name]) => self.remove_object(name),
            (&Method::PUT, ["instances", _]) => self.set_instance(&body),
            _ => not_found_response(),
        };
        if is_write && should_lose_reply(faults.lose_reply_percent) {
            // The write took effect or met a conflict, but the caller gets no reply before its
            // timeout.
            smol::Timer::after(LOST_REPLY_DELAY).await;
        }
        response
    }

    fn get_row(&self, table: &str, key: &str) -> Response<ReplyBody> {
        match self.table.lock().expect("table lock").get(table, key) {
            Some(row) => reply::json(StatusCode::OK, &row),
            None => not_found_response(),
        }
    }

    fn list_rows(&self, table: &str, query: &CallQuery) -> Response<ReplyBody> {
        let limit = query.limit.unwrap_or(usize::MAX);
        let list = self.table.lock().expect("table lock").list(table, &query.from, limit);
        reply::json(StatusCode::OK, &list)
    }

    fn put_row(&self, table: &str, key: &str, body: &[u8]) -> Response<ReplyBody> {
        let write: RowWrite = match parse_or_reject(body) {
            Ok(write) => write,
            Err(response) => return response,
        };
        match self.table.lock().expect("table lock").put(table, key, write) {
            Ok(row) => {
                self.row_written.notify(usize::MAX);
                reply::json(StatusCode::OK, &row)
            }
            Err(conflict) => reply::json(StatusCode::CONFLICT, &conflict),
        }
    }

    fn remove_rows(&self, table: &str, removals: &[RowRemoval]) -> Response<ReplyBody> {
        match self.table.lock().expect("table lock").remove(table, removals) {
            Ok(()) => reply::json(StatusCode::OK, &RowList::default()),
            Err(conflict) => reply::json(StatusCode::CONFLICT, &conflict),
        }
    }

    /// Returns the rows of `table` after the requested generation, as a long poll: while there are
    /// none, waits up to the requested time.
    async fn feed(&self, table: &str, query: &CallQuery) -> Response<ReplyBody> {
        let deadline = Instant::now() + query.wait();
        loop {
            let row_written = self.row_written.listen();
            let page = self.table.lock().expect("table lock").feed(table, query.after);
            let Some(page) = page else {
                return reply::rejection(StatusCode::GONE, "history", "unknown generation", None);
            };
            if !page.rows.is_empty() || Instant::now() >= deadline || self.faults().outage {
                return reply::json(StatusCode::OK, &page);
            }
            row_written
                .or(async {
                    smol::Timer::at(deadline).await;
                })
                .await;
        }
    }

    async fn list_instances(&self, query: &CallQuery) -> Response<ReplyBody> {
        let deadline = Instant::now() + query.wait();
        loop {
            let generation = self.instances.lock().expect("instances lock").generation();
            if generation != query.after || Instant::now() >= deadline {
                break;
            }
            smol::Timer::after(INSTANCE_POLL_INTERVAL).await;
        }
        let list = self.instances.lock().expect("instances lock").visible_since(query.after);
        reply::json(StatusCode::OK, &list)
    }

    fn list_objects(&self, prefix: &str) -> Response<ReplyBody> {
        let list = self.objects.lock().expect("objects lock").list(prefix);
        reply::json(StatusCode::OK, &list)
    }

    fn get_object(&self, name: &str) -> Response<ReplyBody> {
        match self.objects.lock().expect("objects lock").get(name) {
            Some(body) => reply::full(StatusCode::OK, "application/octet-stream", body),
            None => not_found_response(),
        }
    }

    fn put_object(&self, name: &str, body: Bytes) -> Response<ReplyBody> {
        self.objects.lock().expect("objects lock").put(name, body);
        reply::json(StatusCode::OK, &ObjectList { names: vec![name.to_owned()] })
    }

    fn remove_object(&self, name: &str) -> Response<ReplyBody> {
        match self.objects.lock().expect("objects lock").remove(name) {
            true => reply::json(StatusCode::OK, &ObjectList::default()),
            false => not_found_response(),
        }
    }

    fn set_instance(&self, body: &[u8]) -> Response<ReplyBody> {
        let entry: InstanceEntry = match parse_or_reject(body) {
            Ok(entry) => entry,
            Err(response) => return response,
        };
        self.instances.lock().expect("instances lock").set(entry.clone());
        reply::json(StatusCode::OK, &entry)
    }

    fn set_faults(&self, body: &[u8]) -> Response<ReplyBody> {
        let plan: FaultPlan = match parse_or_reject(body) {
            Ok(plan) => plan,
            Err(response) => return response,
        };
        *self.faults.lock().expect("faults lock") = plan.clone();
        tracing::info!(event = 8001, ?plan, "platform faults set");
        reply::json(StatusCode::OK, &plan)
    }

    fn usage(&self) -> PlatformUsage {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        PlatformUsage {
            reads: load(&self.usage.reads),
            writes: load(&self.usage.writes),
            refused: load(&self.usage.refused),
            bytes_in: load(&self.usage.bytes_in),
            bytes_out: load(&self.usage.bytes_out),
        }
    }

    fn reject(&self, status: StatusCode, reason: &str) -> Response<ReplyBody> {
        self.usage.refused.fetch_add(1, Ordering::Relaxed);
        reply::rejection(status, "platform", reason, Some(RETRY_AFTER_S))
    }
}

impl RequestHandler for PlatformStandin {
    async fn handle(&self, request: Request<Incoming>, _peer: SocketAddr) -> Response<ReplyBody> {
        let (parts, body) = request.into_parts();
        let body = match read_body_or_reject(&parts, body).await {
            Ok(body) => body,
            Err(rejection) => return rejection,
        };
        self.usage.bytes_in.fetch_add(body.len() as u64, Ordering::Relaxed);
        let response = self.route(&parts.method, parts.uri.path(), parts.uri.query(), body).await;
        let size = http_body::Body::size_hint(response.body()).exact().unwrap_or(0);
        self.usage.bytes_out.fetch_add(size, Ordering::Relaxed);
        response
    }
}

fn not_found_response() -> Response<ReplyBody> {
    reply::rejection(StatusCode::NOT_FOUND, "not_found", "no such row or route", None)
}

fn should_lose_reply(percent: u8) -> bool {
    percent > 0 && fastrand::u8(0..100) < percent
}
