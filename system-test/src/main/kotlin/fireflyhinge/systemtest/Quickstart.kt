package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.config.UpstreamRole
import fireflyhinge.engine.ChatMessage
import fireflyhinge.standin.AnswerGenerator
import kotlin.system.exitProcess

/** Starts a small fleet, sends one streamed request and one order, prints what happened at each hop, and stops. */
internal class Quickstart(private val fleet: Fleet) {
    private val http = JsonHttp()
    private val workspace = fleet.spec.workspaces.first()
    private val messages = listOf(ChatMessage("user", "Describe the blue vase in the north hall. tokens=40"))

    /** Whether both answers are the expected ones. */
    fun run(): Boolean {
        val addresses = checkNotNull(http.get(fleet.callerAddress("vm-1"), "/v1/addresses?failure_domain=perth-north"))
        say("addresses", "vm-1 names ${addresses["addresses"].map { it["vm"].asText() }} for perth-north")
        val address = addresses["addresses"][0]["address"].asText()
        return ask(address) and order(address)
    }

    private fun ask(address: String): Boolean {
        val call = ChatCall(workspace.name, workspace.key, fleet.spec.model, messages, maxTokens = 60)
        val outcome = ChatCaller().stream(address, call)
        val counts = fleet.upstreams.mapValues { fleet.read(it.value.listening, "/control/counts") }
        hop(counts, "prefill", "prefill", "tokens read")
        hop(counts, "import", "decode", "KV caches imported")
        hop(counts, "decode", "decode", "answers decoded")
        say("answer", outcome.text)
        val millis = outcome.firstTokenMillis?.toInt()
        say("end", "whole=${outcome.whole}, ${outcome.completionTokens} tokens, first token after $millis ms")
        val expected = AnswerGenerator(fleet.spec.model, messages).text(call.maxTokens)
        return outcome.whole && outcome.text == expected
    }

    private fun order(address: String): Boolean {
        val headers = mapOf("Idempotency-Key" to "order-1")
        val body = mapOf("item" to "print 17", "quantity" to 1)
        val path = "/services/${fleet.spec.service}/orders"
        val first = http.post(address, path, body, workspace.key, headers)
        val second = http.post(address, path, body, workspace.key, headers)
        say("order", "$first")
        say("order sent again", "the stored answer: $second")
        return first != null && first == second
    }

    private fun hop(counts: Map<String, JsonNode?>, kind: String, replicas: String, text: String) =
        counts.filter { it.key.startsWith(replicas) && it.value?.has(kind) == true }.forEach { (name, count) ->
            say(kind, "$name: ${count?.get(kind)} $text")
        }

    private fun say(step: String, text: String) = println("%-18s%s".format(step, text))
}

private fun spec(): FleetSpec {
    fun domain(number: Int) = if (number % 2 == 0) "perth-north" else "perth-south"

    fun replicas(role: UpstreamRole, name: String, count: Int) =
        (1..count).map { EngineSpec("$name-$it", role, "perth", domain(it)) }
    return FleetSpec(
        model = "curator-model",
        service = "shopfront",
        vms = (1..VMS).map { VmSpec("vm-$it", "perth", domain(it)) },
        engines =
        replicas(UpstreamRole.PREFILL, "prefill", 2) +
            replicas(UpstreamRole.DECODE, "decode", 2) +
            replicas(UpstreamRole.SERVICE, "shopfront", 1),
        workspaces = listOf(WorkspaceSpec("curators", rate = 1000.0, burst = 10_000.0)),
    )
}

/** Entry point of `./quickstart`; exits with 0 if both answers are the expected ones. */
fun main() {
    println("starting $VMS daemons, 4 engines, a plain service and the store")
    val passed = Fleet(spec()).use { Quickstart(it.start()).run() }
    println(if (passed) "quickstart passed" else "quickstart failed")
    exitProcess(if (passed) 0 else 1)
}

private const val VMS = 7
