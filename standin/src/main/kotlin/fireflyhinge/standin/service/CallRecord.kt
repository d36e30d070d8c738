package fireflyhinge.standin.service

import fireflyhinge.standin.ReceivedCall
import fireflyhinge.standin.ReceivedCalls
import io.javalin.http.Context
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger

/** Which calls ran and how often. */
class CallRecord {
    private val runs = ConcurrentHashMap<String, AtomicInteger>()
    private val received = ReceivedCalls()

    /** Runs per key: the `Idempotency-Key` header, else the body's `id`, else `none`. */
    fun runsByKey(): Map<String, Int> = runs.mapValues { it.value.get() }.toSortedMap()

    /** The newest calls received, refused ones included, oldest first. */
    fun received(): List<ReceivedCall> = received.list()

    internal fun run(key: String): Int = runs.computeIfAbsent(key) { AtomicInteger() }.incrementAndGet()

    internal fun receive(ctx: Context) = received.add(ctx)

    internal fun reset() {
        runs.clear()
        received.reset()
    }
}
