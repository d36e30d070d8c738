package fireflyhinge.daemon.fake

import fireflyhinge.auth.keyHash
import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.ConfigSource
import fireflyhinge.config.Priority
import fireflyhinge.config.ResolvedWorkspace
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole

/** A configuration that tests change by [update]. */
class FakeConfig(initial: ConfigSnapshot = standard()) : ConfigSource {
    @Volatile
    private var snapshot = initial

    override fun current(): ConfigSnapshot = snapshot

    override fun onChange(listener: (ConfigSnapshot) -> Unit) = Unit

    fun update(change: (ConfigSnapshot) -> ConfigSnapshot) {
        snapshot = change(snapshot)
    }

    /** Withdraws all keys of the workspace `blurbs`. */
    fun withdrawKeys() =
        update { it.copy(workspaces = mapOf("blurbs" to workspace("blurbs", keys = emptyList()))) }

    /** Makes [addresses] the replicas of the service `shop`. */
    fun shopAt(vararg addresses: String, leaving: Boolean = false) =
        update { it.copy(upstreams = addresses.map { a -> replica(a, leaving) }.associateBy { r -> r.name }) }

    /** Marks the decode replica [name] as leaving. */
    fun decodeLeaves(name: String) =
        update { it.copy(upstreams = mapOf(name to replica(name, leaving = true).copy(role = UpstreamRole.DECODE))) }

    private fun replica(address: String, leaving: Boolean) =
        Upstream(address, "shop", UpstreamRole.SERVICE, address, "perth", "perth-north", leaving = leaving)

    companion object {
        const val KEY = "key-of-blurbs"
        const val OTHER_KEY = "key-of-replies"
        private val allowed = setOf("curator-model", "shopfront", "optional", "browse")

        fun workspace(name: String, keys: List<String>, models: Set<String> = allowed) =
            ResolvedWorkspace(
                name = name,
                rate = 1000.0,
                burst = 10_000.0,
                models = models,
                priority = Priority.INTERACTIVE,
                regionShares = emptyMap(),
                serveWhenIsolated = false,
                keyHashes = keys.map(::keyHash).toSet(),
            )

        fun standard() =
            ConfigSnapshot(
                workspaces = workspaces().associateBy { it.name },
                routes = routes().associateBy { it.name },
            )

        private fun workspaces() =
            listOf(workspace("blurbs", listOf(KEY)), workspace("replies", listOf(OTHER_KEY)))

        private fun routes() =
            listOf(
                Route("curator-model", RouteKind.MODEL, service = "curator"),
                Route("other-model", RouteKind.MODEL, service = "other"),
                Route("shopfront", RouteKind.SERVICE, "shop", idempotent = false, costTokens = 5.0),
                Route("optional", RouteKind.SERVICE, "shop", idempotent = false, idempotencyKeyRequired = false),
                Route("browse", RouteKind.SERVICE, "shop"),
                Route("lobby", RouteKind.SERVICE, "shop", open = true),
                Route("private", RouteKind.SERVICE, "shop"),
            )
    }
}
