package fireflyhinge.gateway.fleet

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.doubleIn
import fireflyhinge.forward.PrefillRate
import fireflyhinge.longIn

/** JSON codec of the prefill rates of replicas, an optional part of the messages between VMs. */
internal object PrefillRateCodec {
    private const val FIELD = "prefill_rates"
    private val RATES = 0.0..1e6

    fun encode(rates: Map<String, PrefillRate>, root: ObjectNode) {
        if (rates.isEmpty()) return
        val list = root.putObject(FIELD)
        rates.forEach { (id, rate) -> list.putObject(id).put("rate", rate.tokensPerMilli).put("age", rate.ageMillis) }
    }

    /** Decodes the rates in [root]; odd ones are left out. */
    fun decode(root: JsonNode): Map<String, PrefillRate> =
        root.path(FIELD).properties().mapNotNull { (id, node) -> decodeRate(node)?.let { id to it } }.toMap()

    private fun decodeRate(node: JsonNode): PrefillRate? {
        val rate = node.path("rate").doubleIn(RATES) ?: return null
        val age = node.path("age").longIn(0..Long.MAX_VALUE) ?: return null
        return PrefillRate(rate, age)
    }
}
