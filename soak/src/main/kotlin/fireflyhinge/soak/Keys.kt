package fireflyhinge.soak

import java.util.concurrent.ConcurrentHashMap

/** Keys of the workspace: one that stays, and one that each new configuration replaces. */
internal class Keys(private val clock: Clock) {
    private val withdrawnAt = ConcurrentHashMap<String, Long>()
    private val issued = ArrayList<String>()

    /** The newest key that is to be withdrawn later. */
    @get:Synchronized
    val current: String get() = issued.last()

    init {
        next()
    }

    /** A new key to be written with the next configuration. */
    @Synchronized
    fun next(): String = "key-${issued.size}".also { issued += it }

    /** The store has confirmed a configuration without [key]. */
    fun withdrawn(key: String) {
        withdrawnAt[key] = clock.millis()
    }

    /** Any key that was ever in force, older ones included. */
    @Synchronized
    fun any(pick: (Int) -> Int): String = issued[pick(issued.size)]

    fun isWithdrawn(key: String, by: Long): Boolean = withdrawnAt[key]?.let { it <= by } ?: false

    companion object {
        /** A key that all configurations hold. */
        const val LASTING = "key-lasting"
    }
}
