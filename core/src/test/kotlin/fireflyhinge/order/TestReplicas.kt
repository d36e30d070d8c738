package fireflyhinge.order

import fireflyhinge.config.Upstream
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.EngineLoad

internal const val SECOND = 1_000_000_000L

internal val testLoad =
    EngineLoad(
        incarnation = 1,
        running = 0,
        queuedPrefillTokens = 0,
        slots = 20,
        role = UpstreamRole.DECODE,
        models = emptySet(),
        adapters = emptySet(),
    )

internal fun testUpstream(name: String) =
    Upstream(name, "m", UpstreamRole.DECODE, address = "$name:1", region = "r", failureDomain = "d")

/** A replica whose desired state has [adapter] loaded or serves [version]. */
internal fun testView(name: String, adapter: String? = null, version: String? = null, load: EngineLoad? = testLoad) =
    ReplicaView(
        testUpstream(name).copy(adapters = adapter?.let(::listOf), modelVersion = version),
        load,
        reachable = load != null,
        drained = false,
    )
