//! The worker pool: one shared executor run by a fixed number of threads.
//!
//! Every task of a process (connections, request handlers, pollers) is
//! spawned here, so the thread count is a setting and not a library default.

use std::future::Future;
use std::thread;

use smol::Executor;
use smol::future;

/// The process's one executor; threads started by [`start`] run it.
pub static WORKERS: Executor<'static> = Executor::new();

/// Makes the pool `threads` threads wide: the thread that calls
/// [`block_on`] is one of them, the others are started here and run
/// [`WORKERS`] until the process exits. Call once, before [`block_on`].
///
/// With one thread no task is ever handed to another: that saves a wake-up
/// of a sleeping thread for each token relayed.
pub fn start(threads: usize) {
    for index in 1..threads {
        thread::Builder::new()
            .name(format!("worker-{index}"))
            .spawn(|| smol::block_on(WORKERS.run(future::pending::<()>())))
            .expect("spawning a worker thread");
    }
}

/// Spawns `task` on the pool and lets it run to its end on its own.
pub fn spawn<F>(task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    WORKERS.spawn(task).detach();
}

/// Spawns `task` on the pool and returns a handle that yields its output;
/// dropping the handle cancels the task.
pub fn spawn_joined<F, T>(task: F) -> smol::Task<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    WORKERS.spawn(task)
}

/// Runs `main` to its end on the calling thread, which also works the pool.
pub fn block_on<F: Future>(main: F) -> F::Output {
    smol::block_on(WORKERS.run(main))
}
