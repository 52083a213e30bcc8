//! Settings of the system's memory allocator.

/// Size from which an allocation is given back to the system as soon as it is freed, and free
/// memory at the heap's end that is kept, in bytes.
const GIVE_BACK_BYTES: libc::c_int = 64 * 1024;

/// Makes the allocator give memory back that was needed for a moment. By default it keeps the
/// place of large buffers once some have been freed, and a heap for each thread.
pub fn give_back_early() {
    #[cfg(target_env = "gnu")]
    // SAFETY: sets parameters of the allocator, before this process starts threads.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, GIVE_BACK_BYTES);
        libc::mallopt(libc::M_TRIM_THRESHOLD, GIVE_BACK_BYTES);
        libc::mallopt(libc::M_ARENA_MAX, 1);
    }
}
