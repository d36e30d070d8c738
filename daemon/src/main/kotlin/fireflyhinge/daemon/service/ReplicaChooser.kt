package fireflyhinge.daemon.service

import fireflyhinge.config.ConfigSource
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Chooses replicas of plain services: of two random ones, the one with fewer calls in flight from this daemon. Replicas
 * of this daemon's own [region] come first, as links between regions are narrow.
 */
internal class ReplicaChooser(
    private val config: ConfigSource,
    private val region: String,
    private val random: Random = Random.Default,
) {
    private val inFlight = ConcurrentHashMap<String, AtomicInteger>()

    /** Runs [block] with a replica of [service] that is neither leaving nor in [avoid]; null when there is none. */
    fun <T : Any> choose(service: String, avoid: Set<String>, block: (Upstream) -> T): T? {
        val usable = config.current().available(service, UpstreamRole.SERVICE).filter { it.name !in avoid }
        val near = usable.filter { it.region == region }.ifEmpty { usable }
        val replica = lessLoaded(near) ?: return null
        val count = counter(replica)
        count.incrementAndGet()
        return try {
            block(replica)
        } finally {
            count.decrementAndGet()
        }
    }

    private fun lessLoaded(replicas: List<Upstream>): Upstream? {
        if (replicas.size < 2) return replicas.firstOrNull()
        val first = random.nextInt(replicas.size)
        // Drawn from the others, so that the two differ.
        val second = (first + 1 + random.nextInt(replicas.size - 1)) % replicas.size
        return listOf(replicas[first], replicas[second]).minBy { counter(it).get() }
    }

    private fun counter(replica: Upstream) = inFlight.computeIfAbsent(replica.name) { AtomicInteger() }
}
