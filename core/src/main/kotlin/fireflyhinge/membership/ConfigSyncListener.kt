package fireflyhinge.membership

/**
 * Receives the completed reads of the configuration, so that a VM that may have missed changes knows when it has caught
 * up. Implementations are thread-safe.
 */
interface ConfigSyncListener {
    /** Start time of a read that begins now, in milliseconds of the monotonic clock. */
    fun begin(): Long

    /** The complete configuration was read from the store, starting at [startedAt]. */
    fun onStoreRead(startedAt: Long)

    /**
     * A comparison with [peer] that began at [startedAt] left no difference. [current] is true if the peer itself was
     * certain to hold the newest configuration.
     */
    fun onCompared(peer: String, current: Boolean, startedAt: Long)
}
