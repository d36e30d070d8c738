package fireflyhinge.daemon.http

/**
 * Limits of an HTTP listener.
 *
 * @property maxThreads threads that handle requests; one per request in flight.
 * @property connections open connections; more wait in the kernel's queue.
 * @property headerBytes largest request line and headers.
 * @property bodyBytes largest request body.
 * @property ioMillis longest wait for the next bytes of a request, or for a caller to take bytes of an answer.
 * @property bodyMillis longest time for a whole body, so that a body sent in small pieces does not hold a thread.
 * @property idleMillis time after which an idle connection is closed. It is well over the time for which callers keep
 * an address, so that the caller normally closes first.
 */
data class HttpLimits(
    val maxThreads: Int = 400,
    val connections: Int = 8192,
    val headerBytes: Int = 8192,
    val bodyBytes: Int = 4_000_000,
    val ioMillis: Int = 10_000,
    val bodyMillis: Int = 30_000,
    val idleMillis: Int = 120_000,
) {
    /** Requests that are handled at once; a tenth of the threads is kept for refusing the others. */
    val requests: Int get() = maxThreads - maxOf(1, maxThreads / RESERVE)

    private companion object {
        const val RESERVE = 10
    }
}
