package fireflyhinge.systemtest

import fireflyhinge.Json
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.config.Template
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.config.Workspace
import fireflyhinge.config.WorkspaceParameters
import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WriteCondition
import java.io.IOException
import java.security.MessageDigest

/** Writes the configuration objects of a fleet straight to the platform store. */
class FleetObjects(private val spec: FleetSpec, private val store: Store) {
    /** Writes everything that [spec] names; [addresses] maps replicas to `host:port`. */
    internal fun writeAll(addresses: Map<String, String>) {
        write("templates", TEMPLATE, Template(name = TEMPLATE))
        write("routes", spec.model, Route(spec.model, RouteKind.MODEL, service = spec.model))
        write("routes", spec.service, serviceRoute())
        spec.engines.forEach { write("upstreams", it.name, upstream(it, addresses.getValue(it.name))) }
        spec.workspaces.forEach { write("workspaces", it.name, workspace(it)) }
    }

    private fun serviceRoute() =
        Route(
            name = spec.service,
            kind = RouteKind.SERVICE,
            service = spec.service,
            idempotent = spec.serviceIdempotent,
            costTokens = spec.serviceCostTokens,
        )

    /** Writes [value] as the object [kind]/[name], whatever its version is. */
    fun write(kind: String, name: String, value: Any): StoredObject {
        val id = ObjectName(kind, name)
        val current = store.get(id)
        val condition =
            if (current is StoreResult.Ok) WriteCondition.AtVersion(current.value.version) else WriteCondition.Absent
        return when (val result = store.put(id, Json.encode(value), condition)) {
            is StoreResult.Ok -> result.value
            else -> throw IOException("cannot write $id: $result")
        }
    }

    /** The stored form of [engine]. */
    fun upstream(engine: EngineSpec, address: String): Upstream =
        Upstream(
            name = engine.name,
            service = if (engine.role == UpstreamRole.SERVICE) spec.service else spec.model,
            role = engine.role,
            address = address,
            region = engine.region,
            failureDomain = engine.failureDomain,
        )

    /** The stored form of [workspace], with its key granted. */
    fun workspace(workspace: WorkspaceSpec): Workspace {
        val parameters =
            WorkspaceParameters(
                rate = workspace.rate,
                burst = workspace.burst,
                models = listOf(spec.model, spec.service),
                priority = workspace.priority,
                regionShares = workspace.regionShares,
            )
        return Workspace(workspace.name, TEMPLATE, parameters, keyHashes = setOf(sha256(workspace.key)))
    }

    private fun sha256(text: String): String =
        MessageDigest.getInstance("SHA-256").digest(text.toByteArray()).joinToString("") { "%02x".format(it) }

    private companion object {
        const val TEMPLATE = "standard"
    }
}
