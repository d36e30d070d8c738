package fireflyhinge.gateway.http

/** The part of [memory] that one connection holds; nothing once it was closed. Thread-safe. */
internal class HeldShare(private val memory: HeldMemory) : AutoCloseable {
    private var closed = false

    /** Bytes held now. */
    var bytes = 0
        private set

    /** Adds [change] bytes, which may be negative. */
    @Synchronized
    fun add(change: Int) {
        if (closed) return
        bytes += change
        memory.add(change)
    }

    /** Releases everything; what is added later does not count. */
    @Synchronized
    override fun close() {
        add(-bytes)
        closed = true
    }
}
