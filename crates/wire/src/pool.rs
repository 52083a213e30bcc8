//! The worker pool: one shared executor run by a fixed number of threads.
//!
//! Every task of a process (connections, request handlers, pollers) is spawned
//! here, so that the number of threads is a setting and not a library default.

use std::future::Future;
use std::thread;

use smol::Executor;
use smol::future;

/// The only executor of the process. Threads that [`start`] or [`block_on`] provide run it.
pub static WORKERS: Executor<'static> = Executor::new();

/// Sets the size of the pool to `threads` threads. The thread that calls [`block_on`] is one of
/// them; the others are started here and run [`WORKERS`] until the process exits. Must be called
/// once, before [`block_on`].
///
/// With a single thread no task moves between threads, which saves waking a sleeping thread for
/// each relayed token.
pub fn start(threads: usize) {
    for index in 1..threads {
        thread::Builder::new()
            .name(format!("worker-{index}"))
            .spawn(|| smol::block_on(WORKERS.run(future::pending::<()>())))
            .expect("spawning a worker thread");
    }
}

/// Spawns `task` on the pool as a detached task that runs to its end.
pub fn spawn<F>(task: F)
where
    F: Future<Output = ()> + Send + 'static,
{
    WORKERS.spawn(task).detach();
}

/// Spawns `task` on the pool and returns a handle that yields its output. Dropping the handle
/// cancels the task.
pub fn spawn_joined<F, T>(task: F) -> smol::Task<T>
where
    F: Future<Output = T> + Send + 'static,
    T: Send + 'static,
{
    WORKERS.spawn(task)
}

/// Runs `main` to its end on the calling thread, which also runs tasks of the pool meanwhile.
pub fn block_on<F: Future>(main: F) -> F::Output {
    smol::block_on(WORKERS.run(main))
}
