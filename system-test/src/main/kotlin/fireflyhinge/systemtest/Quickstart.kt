package fireflyhinge.systemtest

import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.ChatMessage

/** Starts a small fleet, sends one streamed request and one order, prints what happened, and stops. */
fun main() {
    val spec =
        FleetSpec(
            model = "curator-model",
            service = "shopfront",
            vms = (1..7).map { VmSpec("vm-$it", "perth", if (it % 2 == 0) "perth-north" else "perth-south") },
            engines =
            listOf(
                EngineSpec("prefill-1", UpstreamRole.PREFILL, "perth", "perth-north"),
                EngineSpec("prefill-2", UpstreamRole.PREFILL, "perth", "perth-south"),
                EngineSpec("decode-1", UpstreamRole.DECODE, "perth", "perth-north"),
                EngineSpec("decode-2", UpstreamRole.DECODE, "perth", "perth-south"),
                EngineSpec("shop-1", UpstreamRole.SERVICE, "perth", "perth-north"),
            ),
            workspaces = listOf(WorkspaceSpec("curators", rate = 1000.0, burst = 10_000.0)),
        )
    Fleet(spec).use { fleet ->
        fleet.start()
        val outcome =
            ChatCaller().stream(
                address = fleet.callerAddress("vm-1"),
                call =
                ChatCall(
                    workspace = "curators",
                    key = spec.workspaces.first().key,
                    model = spec.model,
                    messages = listOf(ChatMessage("user", "Describe the blue vase. tokens=40")),
                    maxTokens = 60,
                ),
            )
        println(outcome)
    }
}
