package fireflyhinge.membership

/**
 * Takes the reads of the configuration that ended, so that a VM that may have missed changes knows when it has them.
 * Thread-safe.
 */
interface ConfigSyncListener {
    /** Milliseconds of the monotonic clock at which a read begins now. */
    fun begin(): Long

    /** All of the configuration was read from the store in a read that began at [began]. */
    fun onStoreRead(began: Long)

    /**
     * A comparison with [peer] that began at [began] left no difference. [current] tells that the peer was sure to hold
     * the newest configuration itself.
     */
    fun onCompared(peer: String, current: Boolean, began: Long)
}
