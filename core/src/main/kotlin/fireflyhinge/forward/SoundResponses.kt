package fireflyhinge.forward

import kotlin.random.Random

/**
 * Times of the newest sound responses in each scope, from all VMs, in monotonic milliseconds of this VM. Not
 * thread-safe.
 */
class SoundResponses internal constructor() {
    private val scopes = LruMap<String, Map<String, Long>>(MAX_SCOPES)

    /** Records that a response in [scope] began at [time]. */
    internal fun record(scope: String, time: Long) {
        val id = Random.nextInt().toUInt().toString(RADIX)
        add(scope, mapOf(id to time))
    }

    /** Adds the [times] at which responses in [scope] began, by their ids. Returns whether any was unknown. */
    internal fun add(scope: String, times: Map<String, Long>): Boolean {
        val known = scopes[scope].orEmpty()
        if (known.keys.containsAll(times.keys)) return false
        val newest = (times + known).entries.sortedByDescending { it.value }.take(MAX_RESPONSES)
        scopes[scope] = newest.associate { it.key to it.value }
        return true
    }

    /** Number of responses in [scope] that began after [time], as far as they are known. */
    internal fun countAfter(scope: String, time: Long): Int = scopes[scope].orEmpty().values.count { it > time }

    /** Time at [now] since each response in [scope] began, by its id. */
    internal fun ages(scope: String, now: Long): Map<String, Long> =
        scopes[scope].orEmpty().mapValues { (_, time) -> maxOf(0, now - time) }

    /** Bounds of what is kept. */
    companion object {
        /** Scopes with responses. */
        const val MAX_SCOPES = 32

        /** Responses in one scope; more would not make a verdict more certain. */
        const val MAX_RESPONSES = 32
        private const val RADIX = 36
    }
}
