//! The waiting room: who goes first, who is refused and when.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use umberglade_router::admission::AdmissionQueue;
use umberglade_router::admission::PlacementMode;
use umberglade_wire::engine::Priority;

const MAX_WAIT: Duration = Duration::from_millis(400);

/// Room for so many, taken one by one.
struct FreeSlots(AtomicU32);

impl FreeSlots {
    fn take(&self) -> Option<()> {
        self.0
            .fetch_update(Ordering::AcqRel, Ordering::Acquire, |left| left.checked_sub(1))
            .ok()
            .map(|_| ())
    }
}

fn spawn<T: Send + 'static>(task: impl Future<Output = T> + Send + 'static) -> smol::Task<T> {
    smol::spawn(task)
}

/// At a quiet site requests come one by one and each finds room at once.
/// Newcomers who meet others for a moment must not be refused for
/// "a low rate": the rate was low because arrivals were.
#[test]
fn low_arrival_rate_rejects_nothing() {
    smol::block_on(async {
        let queue = Arc::new(AdmissionQueue::default());
        for _ in 0..6 {
            queue.acquire(Priority::Urgent, MAX_WAIT, |_| Some(())).await.unwrap();
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        let slots = Arc::new(FreeSlots(AtomicU32::new(0)));
        let entered: Vec<_> =
            (0..5)
                .map(|_| {
                    let (queue, slots) = (Arc::clone(&queue), Arc::clone(&slots));
                    spawn(async move {
                        queue.acquire(Priority::Urgent, MAX_WAIT, |_| slots.take()).await
                    })
                })
                .collect();
        smol::Timer::after(Duration::from_millis(30)).await;
        slots.0.store(5, Ordering::Release);
        queue.notify_capacity();
        for task in entered {
            assert!(task.await.is_ok());
        }
    });
}

/// Twenty long prompts wait with no room; then a lookup comes, and room
/// for one. The lookup gets it, although it came last.
#[test]
fn urgent_requests_are_placed_first() {
    smol::block_on(async {
        let queue = Arc::new(AdmissionQueue::default());
        let slots = Arc::new(FreeSlots(AtomicU32::new(0)));
        let order = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = Vec::new();
        let classes = std::iter::repeat_n(Priority::Standard, 20).chain([Priority::Urgent]);
        for priority in classes {
            let (queue, slots, order) = (queue.clone(), slots.clone(), order.clone());
            tasks.push(spawn(async move {
                let entered = queue.acquire(priority, MAX_WAIT * 5, |_| slots.take()).await;
                order.lock().unwrap().push(priority);
                entered
            }));
        }
        smol::Timer::after(Duration::from_millis(50)).await;
        slots.0.store(1, Ordering::Release);
        queue.notify_capacity();
        smol::Timer::after(Duration::from_millis(100)).await;
        assert_eq!(*order.lock().unwrap(), [Priority::Urgent]);
    });
}

/// Lookups take every place as it comes free, without end. A long prompt
/// that waits must in time be offered the room kept for urgent work.
#[test]
fn standard_requests_are_not_starved() {
    smol::block_on(async {
        let queue = Arc::new(AdmissionQueue::default());
        let long = {
            let queue = Arc::clone(&queue);
            spawn(async move {
                let try_place = |mode| (mode == PlacementMode::UseReserve).then_some(());
                queue.acquire(Priority::Standard, Duration::from_secs(10), try_place).await
            })
        };
        smol::Timer::after(Duration::from_millis(20)).await;
        let started_at = Instant::now();
        while !long.is_finished() && started_at.elapsed() < Duration::from_secs(8) {
            queue.acquire(Priority::Urgent, MAX_WAIT, |_| Some(())).await.unwrap();
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert!(long.is_finished(), "passed over for good");
        assert!(long.await.is_ok());
    });
}

/// Past saturation the line grows longer than anyone's patience. A
/// newcomer is refused at once, not after waiting, and told a time to come
/// back that is not sooner than its wait would have been.
#[test]
fn rejects_at_once_when_predicted_wait_exceeds_max_wait() {
    smol::block_on(async {
        let queue = Arc::new(AdmissionQueue::default());
        let slots = Arc::new(FreeSlots(AtomicU32::new(0)));
        let waiting: Vec<_> = (0..60)
            .map(|_| {
                let (queue, slots) = (Arc::clone(&queue), Arc::clone(&slots));
                spawn(async move {
                    queue.acquire(Priority::Urgent, Duration::from_secs(20), |_| slots.take()).await
                })
            })
            .collect();
        for _ in 0..20 {
            slots.0.store(1, Ordering::Release);
            queue.notify_capacity();
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        let started_at = Instant::now();
        let rejection =
            queue.acquire(Priority::Urgent, MAX_WAIT, |_| slots.take()).await.unwrap_err();
        assert!(started_at.elapsed() < MAX_WAIT / 2, "kept waiting {:?}", started_at.elapsed());
        assert!(rejection.retry_after_s >= 1);
        drop(waiting);
    });
}
