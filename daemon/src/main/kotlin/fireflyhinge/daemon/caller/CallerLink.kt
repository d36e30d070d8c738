package fireflyhinge.daemon.caller

/** The connection to the caller of one request. */
interface CallerLink {
    /** Whether the caller has closed its connection or its half of it. */
    fun departed(): Boolean

    /** Runs [block] and, if the caller departs meanwhile, [action] in another thread. Not to be nested. */
    fun <T> onDeparture(action: () -> Unit, block: () -> T): T
}

/** Runs [block] in the current thread and interrupts it when the caller departs; leaves no interrupt pending. */
fun <T> CallerLink.interruptible(block: () -> T): T {
    val thread = Thread.currentThread()
    return try {
        onDeparture(thread::interrupt, block)
    } finally {
        Thread.interrupted()
    }
}
