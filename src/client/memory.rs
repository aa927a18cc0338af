//! How the allocator of the process treats large blocks, such as bodies.

/// Size in bytes from which a block is returned to the system as soon as it is freed.
const LARGE_BLOCK: i32 = 128 * 1024;

/// Returns large blocks to the system as soon as they are freed. By default the allocator keeps
/// them once it has seen some, and the process holds more memory than it uses.
pub fn return_large_blocks() {
    #[cfg(target_env = "gnu")]
    // SAFETY: the call sets a parameter of the allocator and touches no other memory.
    unsafe {
        libc::mallopt(libc::M_MMAP_THRESHOLD, LARGE_BLOCK);
    }
}
