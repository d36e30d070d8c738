package fireflyhinge.gateway.fleet

import fireflyhinge.forward.FleetView
import fireflyhinge.gateway.FAILURE_BACKOFF_MILLIS
import fireflyhinge.gateway.repeatForever
import kotlinx.coroutines.delay
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicLong
import kotlin.random.Random

/** Writes this VM's entry in the store again after each restore, which may have lost or reverted it. */
internal class OwnEntry(private val store: PlatformStore, private val fleet: FleetView) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val count = AtomicLong()

    /** Writes that the store confirmed. */
    val rewrites: Long get() = count.get()

    /** Keeps the entry, which the store confirmed in [confirmedEra], until cancelled. */
    suspend fun run(confirmedEra: Long): Nothing {
        var era = confirmedEra
        repeatForever(log, "keeping the entry of this VM") {
            store.era.awaitAbove(era)
            delay(Random.nextLong(spreadMillis()))
            era = rewrite()
        }
    }

    /** Writes the entry until the store confirms it. Returns the era in which it did. */
    private suspend fun rewrite(): Long {
        while (true) {
            val era = store.era.value
            val confirmed = store.register(fleet.self)
            log.atInfo().addKeyValue("era", era).addKeyValue("confirmed", confirmed)
                .log("wrote the entry of this VM again")
            if (confirmed) {
                count.incrementAndGet()
                // Otherwise the store may have confirmed the write before it was restored again.
                if (store.era.value == era) return era
            }
            delay(FAILURE_BACKOFF_MILLIS / 2 + Random.nextLong(FAILURE_BACKOFF_MILLIS))
        }
    }

    /** At most 500 VMs write per second, of the 1,200 writes that the store allows. */
    private fun spreadMillis(): Long = maxOf(MIN_SPREAD_MILLIS, fleet.all().size * MILLIS_PER_VM)

    private companion object {
        const val MIN_SPREAD_MILLIS = 1_000L
        const val MILLIS_PER_VM = 2L
    }
}
