package fireflyhinge.gateway.http

import java.util.concurrent.atomic.AtomicLong

/** Limits the bytes that the connections sharing [reservedBytes] hold to [maxBytes]. */
internal class MemoryLimit(private val reservedBytes: AtomicLong, private val maxBytes: Long) {
    /** Reserves [bytes]; returns false and reserves nothing if that would exceed the limit. */
    fun tryReserve(bytes: Int): Boolean {
        if (reservedBytes.addAndGet(bytes.toLong()) <= maxBytes) return true
        reservedBytes.addAndGet(-bytes.toLong())
        return false
    }

    /** Releases [bytes]. */
    fun release(bytes: Int) {
        reservedBytes.addAndGet(-bytes.toLong())
    }
}
