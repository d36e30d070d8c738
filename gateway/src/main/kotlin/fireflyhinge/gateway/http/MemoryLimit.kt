package fireflyhinge.gateway.http

import java.util.concurrent.atomic.AtomicLong

/**
 * Limits the bytes that the connections sharing it reserve to [maxBytes], and those of the process to [heldLimit].
 * Thread-safe.
 */
internal class MemoryLimit(
    val held: HeldMemory,
    private val maxBytes: Long,
    private val heldLimit: Long = held.limits.total,
) {
    private val reservedBytes = AtomicLong()

    /** Reserves [bytes]; returns false and reserves nothing if that would exceed a limit. */
    fun tryReserve(bytes: Int): Boolean {
        if (reservedBytes.addAndGet(bytes.toLong()) <= maxBytes && held.tryReserve(bytes, heldLimit)) return true
        reservedBytes.addAndGet(-bytes.toLong())
        return false
    }

    /** Releases [bytes]. */
    fun release(bytes: Int) {
        reservedBytes.addAndGet(-bytes.toLong())
        held.release(bytes)
    }
}
