package fireflyhinge.gateway.http

import java.util.concurrent.atomic.AtomicLong

/** Bounds the bytes that all connections of a listener hold. */
internal class MemoryLimit(private val held: AtomicLong, private val most: Long) {
    /** Counts [bytes] more; false, and nothing counted, if there is no room. */
    fun take(bytes: Int): Boolean {
        if (held.addAndGet(bytes.toLong()) <= most) return true
        held.addAndGet(-bytes.toLong())
        return false
    }

    /** Gives [bytes] back. */
    fun release(bytes: Int) {
        held.addAndGet(-bytes.toLong())
    }
}
