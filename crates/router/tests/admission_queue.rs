//! The admission queue: order of placement, and rejections.

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

/// Server capacity: the number of free slots, claimed one at a time.
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

/// At a site with little traffic, requests arrive one by one and are placed at once. A few that
/// queue briefly must not be rejected for a low placement rate: it is low because arrivals are.
#[test]
fn low_arrival_rate_rejects_nothing() {
    smol::block_on(async {
        let queue = Arc::new(AdmissionQueue::default());
        for _ in 0..6 {
            queue.acquire(Priority::Urgent, MAX_WAIT, |_| Some(())).await.unwrap();
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        let slots = Arc::new(FreeSlots(AtomicU32::new(0)));
        let tasks: Vec<_> =
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
        for task in tasks {
            assert!(task.await.is_ok());
        }
    });
}

/// Twenty standard requests are queued without capacity, then an urgent one arrives and capacity
/// for one becomes free. The urgent request must get it, although it arrived last.
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
                let result = queue.acquire(priority, MAX_WAIT * 5, |_| slots.take()).await;
                order.lock().unwrap().push(priority);
                result
            }));
        }
        smol::Timer::after(Duration::from_millis(50)).await;
        slots.0.store(1, Ordering::Release);
        queue.notify_capacity();
        smol::Timer::after(Duration::from_millis(100)).await;
        assert_eq!(*order.lock().unwrap(), [Priority::Urgent]);
    });
}

/// Urgent requests continuously take all free capacity. A queued standard request must eventually
/// be offered the capacity reserved for urgent ones.
#[test]
fn standard_requests_are_not_starved() {
    smol::block_on(async {
        let queue = Arc::new(AdmissionQueue::default());
        let standard = {
            let queue = Arc::clone(&queue);
            spawn(async move {
                let try_place = |mode| (mode == PlacementMode::UseReserve).then_some(());
                queue.acquire(Priority::Standard, Duration::from_secs(10), try_place).await
            })
        };
        smol::Timer::after(Duration::from_millis(20)).await;
        let started_at = Instant::now();
        while !standard.is_finished() && started_at.elapsed() < Duration::from_secs(8) {
            queue.acquire(Priority::Urgent, MAX_WAIT, |_| Some(())).await.unwrap();
            smol::Timer::after(Duration::from_millis(5)).await;
        }
        assert!(standard.is_finished(), "standard request still not placed after 8 s");
        assert!(standard.await.is_ok());
    });
}

/// Under overload the predicted wait exceeds the maximum wait. A new request must be rejected at
/// once rather than after waiting, with a retry time no sooner than its wait would have been.
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
        assert!(
            started_at.elapsed() < MAX_WAIT / 2,
            "rejected only after {:?}",
            started_at.elapsed()
        );
        assert!(rejection.retry_after_s >= 1);
        drop(waiting);
    });
}
