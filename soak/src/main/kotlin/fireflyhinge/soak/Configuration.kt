package fireflyhinge.soak

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper
import kotlin.random.Random

/** The platform's configuration. Requests are allowed by each of them. */
internal data class Configuration(
    val idleMillis: Long = 15_000,
    val timeoutMillis: Long = SHORTEST_TIMEOUT_MILLIS,
    val ownRoutes: Boolean = false,
    val annexWeight: Int = 0,
    val tokensPerSecond: Int = 0,
) {
    /** This configuration with one other value. */
    fun changed(random: Random): Configuration {
        val changed =
            listOf(
                copy(idleMillis = IDLE_MILLIS.random(random)),
                copy(timeoutMillis = TIMEOUT_MILLIS.random(random)),
                copy(ownRoutes = !ownRoutes),
                copy(annexWeight = WEIGHTS.random(random)),
                copy(tokensPerSecond = TOKENS_PER_SECOND.random(random)),
            )
        return changed.filter { it != this }.random(random)
    }

    /** The entry of version [version], in which the workspace has [keys]. */
    fun entry(version: Long, keys: List<String>): JsonNode {
        val keyList = keys.joinToString(",") { "\"$it\"" }
        // Routes with a longer prefix take the same requests over, and give them back when they are removed.
        val prefixes = if (ownRoutes) listOf("", "x") else listOf("")
        val routes = prefixes.flatMap(::routes).joinToString(",")
        return mapper.readTree(
            """{"version":$version,"routes":[$routes],
            "services":[{"name":"shop","maxConns":100},{"name":"annex","maxConns":100},
            {"name":"engine","maxConns":100,"runtime":{"kvCapacity":500000}}],
            "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":$idleMillis},
            "tenants":[{"name":"${Ledger.WORKSPACE}","apiKeys":[$keyList],"billingUnit":"tokens","plainTokens":200,
            "ratePerS":$tokensPerSecond,"burstSize":$tokensPerSecond}]}""",
        )
    }

    private fun routes(suffix: String): List<String> {
        val common = """"hostname":"$HOST","timeoutMs":$timeoutMillis,"sloMs":300"""
        val shops = """{"backend":"shop","weight":${FULL_WEIGHT - annexWeight}}"""
        val split = """"trafficSplit":[$shops,{"backend":"annex","weight":$annexWeight}]"""
        fun route(name: String, rest: String) =
            """{"name":"$name$suffix","pathPrefix":"/$name/$suffix",$rest,$common}"""
        return listOf(
            route("plain", """"routeKind":"idempotent","maxAttempts":2,$split"""),
            route("order", """"routeKind":"non_idempotent",$split"""),
            route("model", """"routeKind":"streaming","backend":"engine","maxAttempts":2,"resumable":true"""),
            route("once", """"routeKind":"streaming","backend":"engine""""),
        )
    }

    companion object {
        const val HOST = "shop.example"
        const val SHORTEST_TIMEOUT_MILLIS = 2_000L
        const val SHORTEST_IDLE_MILLIS = 300L
        private val mapper = ObjectMapper()
        private val IDLE_MILLIS = listOf(SHORTEST_IDLE_MILLIS, 1_000L, 15_000L)
        private val TIMEOUT_MILLIS = listOf(SHORTEST_TIMEOUT_MILLIS, 2_400L, 3_000L)
        private const val FULL_WEIGHT = 100
        private val WEIGHTS = listOf(0, 30, FULL_WEIGHT)

        /** No limit, one above what callers ask, and one below. */
        private val TOKENS_PER_SECOND = listOf(0, 1_000_000, 50_000)
        private const val SLOTS = 8

        /** Entry of a replica at [address] that started at [startedAt]. */
        fun replica(service: String, address: String, zone: String, stage: String?, startedAt: Long = 0): JsonNode {
            val entry = mapper.createObjectNode().put("backend", service).put("addr", address).put("zone", zone)
            entry.put("slots", SLOTS).put("state", "ready").put("born", startedAt)
            if (stage != null) entry.put("stage", stage)
            return entry
        }
    }
}
