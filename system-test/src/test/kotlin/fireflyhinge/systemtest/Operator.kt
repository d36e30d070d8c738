package fireflyhinge.systemtest

/** An operator who uses the admin API of the daemons of [fleet]. */
internal class Operator(private val fleet: Fleet) {
    private val http = HttpCaller()
    private val headers = mapOf("Authorization" to "Bearer ${Fleet.OPERATOR_TOKEN}")

    /** Sends [method] [path] below `/admin/v1` to [vm]. */
    fun send(vm: String, method: String, path: String, body: Any? = null): HttpAnswer =
        http.send(fleet.controlAddress(vm), method, "/admin/v1/$path", headers, body)

    /** Changes the rate of [workspace] through [vm], if it still has version [expected]. */
    fun setRate(vm: String, workspace: String, rate: Double, expected: Long? = null): HttpAnswer {
        val condition = expected?.let { "?expected_version=$it" }.orEmpty()
        return send(vm, "PATCH", "workspaces/$workspace$condition", mapOf("parameters" to mapOf("rate" to rate)))
    }

    /** Version of [target] (`kind/name`) that [holder] holds by the answer of [vm], or null if it did not answer. */
    fun heldBy(holder: String, target: String, vm: String = holder): Long? {
        val held = send(vm, "GET", "versions?object=$target").json?.get("vms") ?: return null
        return held.firstOrNull { it["vm"].asText() == holder }?.get("version")?.takeIf { it.isNumber }?.asLong()
    }
}
