package fireflyhinge.daemon.caller

/** The connection to the caller of one request. */
interface CallerLink {
    /** Whether the caller has closed its connection or its half of it. */
    fun departed(): Boolean

    /**
     * Runs [block] in the current thread and interrupts it when the caller departs. No interrupt is left pending
     * afterwards.
     */
    fun <T> interruptible(block: () -> T): T
}
