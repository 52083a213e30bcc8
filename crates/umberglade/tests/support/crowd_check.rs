//! Lets crowds come to a process, and checks that it bears them.

use std::net::SocketAddr;
use std::process::Child;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;
use std::thread;
use std::time::Duration;

use super::crowd::Crowd;
use super::crowd::CrowdRequest;
use super::crowd::CrowdResponse;
use super::process_use::ProcessLimits;
use super::process_use::ProcessUse;

/// Crowds come twice, so that what the first one leaves behind counts.
const ROUNDS: usize = 2;
/// How often an ordinary caller tries beside a crowd.
const MAX_ATTEMPTS: u32 = 5;
/// The `Retry-After` of refusals.
const RETRY_DELAY: Duration = Duration::from_secs(1);
/// What a member of a crowd may be answered.
const STATUSES: [u16; 8] = [200, 400, 408, 413, 429, 431, 503, 504];
/// Statuses that guarantee that the request has not run.
const NOT_RUN_STATUSES: [u16; 2] = [429, 503];

/// Lets one test run at a time: each measures a process by itself.
pub fn one_at_a_time() -> MutexGuard<'static, ()> {
    static TURN: Mutex<()> = Mutex::new(());
    TURN.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A process that callers reach.
pub trait CrowdTarget {
    fn process(&mut self) -> &mut Child;

    /// Returns the address that callers connect to.
    fn front(&self) -> SocketAddr;

    /// Sends an ordinary request with `id` and returns the status; fails if its connection is
    /// closed without an answer.
    fn try_ordinary(&self, id: &str) -> Result<u16, ureq::Error>;

    /// Returns how often servers ran the requests of a crowd's member; `None` if that is not known.
    fn runs_of(&self, member: usize) -> Option<u32>;
}

/// Lets crowds, each with its size, come to `target` at once.
pub fn check_crowds<T: CrowdTarget>(
    mut target: T,
    limits: ProcessLimits,
    requests: &[(usize, CrowdRequest)],
) {
    let front = target.front();
    let pid = target.process().id();
    let read_use = || ProcessUse::read(pid, &[front]);
    assert_eq!(target.try_ordinary("before").ok(), Some(200), "before the crowd");
    let mut next_member = 0;
    for round in 0..ROUNDS {
        let mut crowds = send(front, requests, &mut next_member);
        read_use().assert_within(limits, "beside the crowd");
        assert_served(&target, &format!("beside-{round}"));
        for response in crowds.iter_mut().flat_map(Crowd::responses) {
            check_response(&target, &response);
        }
        drop(crowds);
        let after = target.try_ordinary(&format!("after-{round}"));
        assert_eq!(after.ok(), Some(200), "after the crowd");
        read_use().assert_within(limits, "after the crowd");
    }
    let ended = target.process().try_wait().expect("a child");
    assert!(ended.is_none(), "the process has ended: {ended:?}");
}

/// Panics unless an ordinary request is served beside a crowd. Its caller comes back as callers do
/// that keep to the protocol: after a refusal, and after a connection that was closed unread.
fn assert_served<T: CrowdTarget>(target: &T, id: &str) {
    for attempt in 0..MAX_ATTEMPTS {
        match target.try_ordinary(&format!("{id}-{attempt}")) {
            Ok(200) => return,
            Ok(status) => assert!(NOT_RUN_STATUSES.contains(&status), "beside the crowd: {status}"),
            Err(ureq::Error::Io(_)) => {}
            Err(error) => panic!("beside the crowd: {error}"),
        }
        thread::sleep(RETRY_DELAY);
    }
    panic!("beside the crowd: not served in {MAX_ATTEMPTS} attempts");
}

/// Sends all crowds at once; their members have the numbers from `next_member` on.
fn send(
    front: SocketAddr,
    requests: &[(usize, CrowdRequest)],
    next_member: &mut usize,
) -> Vec<Crowd> {
    thread::scope(|scope| {
        let senders: Vec<_> = requests
            .iter()
            .map(|(size, request)| {
                let numbers = *next_member..*next_member + size;
                *next_member = numbers.end;
                scope.spawn(move || Crowd::send(front, numbers, request))
            })
            .collect();
        senders.into_iter().map(|sender| sender.join().expect("a crowd")).collect()
    })
}

/// Checks that a response which guarantees that its request has not run says when to come back,
/// and is true.
fn check_response<T: CrowdTarget>(target: &T, response: &CrowdResponse) {
    let Some(status) = response.status() else { return };
    assert!(STATUSES.contains(&status), "{}", response.text);
    if NOT_RUN_STATUSES.contains(&status) {
        assert!(response.text.contains("retry-after: "), "{}", response.text);
        let runs = target.runs_of(response.member);
        assert!(runs.is_none_or(|runs| runs == 0), "ran: {}", response.text);
    }
}
