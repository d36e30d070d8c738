package fireflyhinge.soak

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.ObjectMapper

/** Writes the platform's entries: the configuration and the replicas. */
internal object Configuration {
    private val mapper = ObjectMapper()

    /** Version [version], in which the workspace has [keys]. */
    fun entry(version: Long, keys: List<String>): JsonNode {
        val route = """"hostname":"$HOST","timeoutMs":2000,"sloMs":300"""
        val keyList = keys.joinToString(",") { "\"$it\"" }
        return mapper.readTree(
            """{"version":$version,"routes":[
            {"name":"plain","pathPrefix":"/plain/","routeKind":"idempotent","backend":"shop","maxAttempts":2,$route},
            {"name":"order","pathPrefix":"/order/","routeKind":"non_idempotent","backend":"shop",$route},
            {"name":"model","pathPrefix":"/model/","routeKind":"streaming","backend":"engine","maxAttempts":2,
            "resumable":true,$route},
            {"name":"once","pathPrefix":"/once/","routeKind":"streaming","backend":"engine",$route}],
            "services":[{"name":"shop","maxConns":100},
            {"name":"engine","maxConns":100,"runtime":{"kvCapacity":500000}}],
            "limits":{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":3000,"idleTimeoutMs":15000},
            "tenants":[{"name":"${Ledger.WORKSPACE}","apiKeys":[$keyList],"billingUnit":"tokens","plainTokens":200,
            "ratePerS":0,"burstSize":0}]}""",
        )
    }

    /** Entry of a replica at [address]. */
    fun replica(service: String, address: String, zone: String, stage: String?): JsonNode {
        val entry = mapper.createObjectNode().put("backend", service).put("addr", address).put("zone", zone)
        entry.put("slots", SLOTS).put("state", "ready")
        if (stage != null) entry.put("stage", stage)
        return entry
    }

    const val HOST = "shop.example"
    private const val SLOTS = 8
}
