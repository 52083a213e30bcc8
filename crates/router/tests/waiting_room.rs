//! The waiting room: who goes first, who is refused and when.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;
use std::time::Instant;

use umberglade_router::admission::RoomTurn;
use umberglade_router::admission::WaitingRoom;
use umberglade_wire::engine::Priority;

const PATIENCE: Duration = Duration::from_millis(400);

/// Room for so many, taken one by one.
struct Seats(AtomicU32);

impl Seats {
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
fn a_quiet_site_refuses_nobody() {
    smol::block_on(async {
        let room = Arc::new(WaitingRoom::default());
        for _ in 0..6 {
            room.enter(Priority::Urgent, PATIENCE, |_| Some(())).await.unwrap();
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        let seats = Arc::new(Seats(AtomicU32::new(0)));
        let entered: Vec<_> = (0..5)
            .map(|_| {
                let (room, seats) = (Arc::clone(&room), Arc::clone(&seats));
                spawn(async move { room.enter(Priority::Urgent, PATIENCE, |_| seats.take()).await })
            })
            .collect();
        smol::Timer::after(Duration::from_millis(30)).await;
        seats.0.store(5, Ordering::Release);
        room.wake_first();
        for task in entered {
            assert!(task.await.is_ok());
        }
    });
}

/// Twenty long prompts wait with no room; then a lookup comes, and room
/// for one. The lookup gets it, although it came last.
#[test]
fn urgent_work_goes_before_all_that_waits() {
    smol::block_on(async {
        let room = Arc::new(WaitingRoom::default());
        let seats = Arc::new(Seats(AtomicU32::new(0)));
        let order = Arc::new(Mutex::new(Vec::new()));
        let mut tasks = Vec::new();
        let classes = std::iter::repeat_n(Priority::Standard, 20).chain([Priority::Urgent]);
        for priority in classes {
            let (room, seats, order) = (room.clone(), seats.clone(), order.clone());
            tasks.push(spawn(async move {
                let entered = room.enter(priority, PATIENCE * 5, |_| seats.take()).await;
                order.lock().unwrap().push(priority);
                entered
            }));
        }
        smol::Timer::after(Duration::from_millis(50)).await;
        seats.0.store(1, Ordering::Release);
        room.wake_first();
        smol::Timer::after(Duration::from_millis(100)).await;
        assert_eq!(*order.lock().unwrap(), [Priority::Urgent]);
    });
}

/// Lookups take every place as it comes free, without end. A long prompt
/// that waits must in time be offered the room kept for urgent work.
#[test]
fn long_work_is_never_starved() {
    smol::block_on(async {
        let room = Arc::new(WaitingRoom::default());
        let long = {
            let room = Arc::clone(&room);
            spawn(async move {
                let place = |turn| (turn == RoomTurn::PassedOver).then_some(());
                room.enter(Priority::Standard, Duration::from_secs(10), place).await
            })
        };
        smol::Timer::after(Duration::from_millis(20)).await;
        let begun = Instant::now();
        while !long.is_finished() && begun.elapsed() < Duration::from_secs(8) {
            room.enter(Priority::Urgent, PATIENCE, |_| Some(())).await.unwrap();
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
fn a_hopeless_newcomer_is_refused_at_once() {
    smol::block_on(async {
        let room = Arc::new(WaitingRoom::default());
        let seats = Arc::new(Seats(AtomicU32::new(0)));
        let waiting: Vec<_> = (0..60)
            .map(|_| {
                let (room, seats) = (Arc::clone(&room), Arc::clone(&seats));
                spawn(async move {
                    room.enter(Priority::Urgent, Duration::from_secs(20), |_| seats.take()).await
                })
            })
            .collect();
        for _ in 0..20 {
            seats.0.store(1, Ordering::Release);
            room.wake_first();
            smol::Timer::after(Duration::from_millis(50)).await;
        }
        let begun = Instant::now();
        let refused = room.enter(Priority::Urgent, PATIENCE, |_| seats.take()).await.unwrap_err();
        assert!(begun.elapsed() < PATIENCE / 2, "kept waiting {:?}", begun.elapsed());
        assert!(refused.retry_after_s >= 1);
        drop(waiting);
    });
}
