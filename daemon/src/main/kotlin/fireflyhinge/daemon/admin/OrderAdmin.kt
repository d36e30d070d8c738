package fireflyhinge.daemon.admin

import com.fasterxml.jackson.databind.JsonNode
import com.fasterxml.jackson.databind.node.ObjectNode
import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigError
import fireflyhinge.config.ConfigKinds
import fireflyhinge.config.ObjectDecoder
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.order.desiredState
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** Desired states of upstreams and their progress. */
class OrderAdmin internal constructor(
    private val upstreams: ObjectAdmin,
    private val held: () -> ConfigCopy,
    private val fleet: FleetOrders,
) {
    /** Sets the fields of the desired state that [body] names; null takes a field away. */
    fun set(name: String, body: String, options: ChangeOptions): Outcome<Change> =
        StoredJson.parse(body).then(::checked).then { patch ->
            upstreams.edit(name, options) { tree ->
                patch.properties().forEach { (field, value) -> tree.replace(field, value) }
            }
        }

    /** Status of all model upstreams, or only of [upstream]. */
    fun status(upstream: String?): Outcome<List<UpstreamStatus>> {
        val objects = held().stored(ConfigKinds.UPSTREAMS).filterNot(StoredJson::absent)
        val wanted = objects.filter { upstream == null || it.name.name == upstream }
        if (upstream != null && wanted.isEmpty()) return Outcome.Failure(ResultCode.OBJECT_UNKNOWN, upstream)
        val progress = fleet.statuses(upstream)
        val statuses =
            wanted.mapNotNull { stored ->
                val value = ObjectDecoder.decode(stored.name.kind, stored.value).value as? Upstream
                value?.takeIf { it.role != UpstreamRole.SERVICE || upstream != null }
                    ?.let { UpstreamStatus(it.name, stored.version, it.desiredState(), progress[it.name]) }
            }
        return Outcome.Success(statuses)
    }

    private fun checked(patch: ObjectNode): Outcome<ObjectNode> {
        val faults =
            patch.properties().mapNotNull { (field, value) -> problem(field, value)?.let { fault(field, it) } }
        return if (faults.isEmpty()) Outcome.Success(patch) else ObjectInput.failure(faults)
    }

    private fun problem(field: String, value: JsonNode): String? =
        when {
            field !in fields -> "is not part of the desired state; allowed: $fields"
            field == ROLE && value.isNull -> "must not be null"
            else -> null
        }

    private fun fault(field: String, problem: String) = ConfigError(ResultCode.OBJECT_INVALID, field, problem)

    private companion object {
        const val ROLE = "role"
        val fields = listOf("adapters", "modelVersion", "models", ROLE)
    }
}
