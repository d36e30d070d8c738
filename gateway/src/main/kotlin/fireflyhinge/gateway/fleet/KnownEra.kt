package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreEras
import fireflyhinge.forward.StoreObjectKind
import kotlinx.coroutines.flow.MutableStateFlow
import kotlinx.coroutines.flow.first
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong

/** The known era of the store, and a signal when it increases. Thread-safe. */
class KnownEra(private val eras: StoreEras = StoreEras()) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val flow = MutableStateFlow(0L)
    private val late = AtomicLong()

    /** The highest era seen. */
    val value: Long get() = eras.known

    /** Responses of the store that were discarded because they were of an older era. */
    val discarded: Long get() = late.get()

    /** Records [era], stated by [source], a VM or the store. Returns false if it is older than the known one. */
    fun observe(era: Long, source: String): Boolean {
        val before = eras.known
        val current = eras.observe(era)
        val after = eras.known
        if (after > before) {
            log.atInfo().addKeyValue("era", after).addKeyValue("before", before).addKeyValue("source", source)
                .log("the store has another era")
        }
        flow.value = after
        return current
    }

    /** Records that a response of the store was discarded. */
    fun countDiscarded() {
        late.incrementAndGet()
    }

    /** Time left in which the state in force takes precedence over restored objects of [kind]. */
    fun precedenceMillis(kind: StoreObjectKind): Long = eras.precedenceMillis(kind)

    /** Waits until an era above [era] is known. */
    suspend fun awaitAbove(era: Long) {
        flow.first { it > era }
    }
}
