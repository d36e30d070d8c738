package fireflyhinge.systemtest

import fireflyhinge.config.UpstreamRole

/** An engine or plain service replica of a fleet under test. [arguments] are passed to the stand-in as they are. */
data class EngineSpec(
    val name: String,
    val role: UpstreamRole,
    val region: String,
    val failureDomain: String,
    val arguments: List<String> = emptyList(),
)
