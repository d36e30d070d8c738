package fireflyhinge.daemon.fake

import fireflyhinge.auth.keyHash
import fireflyhinge.config.ConfigSnapshot
import fireflyhinge.config.ConfigSource
import fireflyhinge.config.Priority
import fireflyhinge.config.ResolvedWorkspace
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind

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

    companion object {
        const val KEY = "key-of-blurbs"

        fun workspace(name: String, keys: List<String>, models: Set<String> = setOf("curator-model", "shopfront")) =
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
                workspaces = mapOf("blurbs" to workspace("blurbs", listOf(KEY))),
                routes = routes().associateBy { it.name },
            )

        private fun routes() =
            listOf(
                Route("curator-model", RouteKind.MODEL, service = "curator"),
                Route("other-model", RouteKind.MODEL, service = "other"),
            )
    }
}
