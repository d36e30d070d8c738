package fireflyhinge.measure

import fireflyhinge.systemtest.Fleet
import java.io.IOException
import java.util.concurrent.ConcurrentHashMap

/** Addresses that the callers of each workspace and failure domain keep, as the platform's callers do. */
internal class AddressBook(private val fleet: Fleet) {
    private val answers = ConcurrentHashMap<Pair<String, String>, Answer>()

    /** Addresses for a caller, asked again when the answer's lifetime is over or [renew] is set. */
    fun addresses(workspace: String, failureDomain: String, renew: Boolean = false): List<String> {
        val caller = workspace to failureDomain
        val known = answers[caller]
        if (!renew && known != null && System.nanoTime() < known.until) return known.addresses
        return ask(failureDomain, avoid = known?.addresses?.firstOrNull()).also { answers[caller] = it }.addresses
    }

    private fun ask(failureDomain: String, avoid: String?): Answer {
        val vms = fleet.spec.vms.map { fleet.callerAddress(it.id) }.shuffled().sortedBy { it == avoid }
        for (vm in vms) {
            try {
                val answer = checkNotNull(fleet.read(vm, "/v1/addresses?failure_domain=$failureDomain"))
                val until = System.nanoTime() + (answer["ttl_seconds"].asDouble() * NANOS_PER_SECOND).toLong()
                return Answer(answer["addresses"].map { it["address"].asText() }, until)
            } catch (_: IOException) {
                continue
            }
        }
        return Answer(vms, System.nanoTime())
    }

    private data class Answer(val addresses: List<String>, val until: Long)

    private companion object {
        const val NANOS_PER_SECOND = 1e9
    }
}
