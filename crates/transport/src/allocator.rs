//! Memory that the allocator retains.

/// Returns the free memory of the allocator to the operating system. Buffers of many sizes leave free blocks between blocks
/// in use, and the allocator alone returns only those at the end of its heap. Does nothing with other allocators.
pub fn release_free_memory() {
    #[cfg(all(target_os = "linux", target_env = "gnu"))]
    {
        // SAFETY: the function takes the allocator's own locks, and changes no block in use.
        #[allow(unsafe_code)]
        unsafe {
            libc::malloc_trim(0);
        }
    }
}
