package fireflyhinge.systemtest

import java.util.concurrent.TimeUnit

/** A caller that asks any VM for an address, uses it for the answer's lifetime and keeps its connections open. */
internal class AddressedCaller(private val fleet: Fleet, private val number: Int) {
    private val http = HttpCaller()
    private val calls = ModelCalls(fleet)
    private val caller = ChatCaller()
    private var address: String? = null
    private var expiresAt = 0L

    /** Sends requests one after another until [stopped]. */
    fun run(stopped: () -> Boolean): List<ChatOutcome> {
        val outcomes = mutableListOf<ChatOutcome>()
        while (!stopped()) {
            outcomes += caller.stream(currentAddress(), calls.call("caller $number, request ${outcomes.size}", TOKENS))
        }
        return outcomes
    }

    private fun currentAddress(): String {
        val held = address
        if (held != null && System.nanoTime() < expiresAt) return held
        val askedAt = System.nanoTime()
        val answer = fleet.spec.vms.firstNotNullOf { vm -> ask(vm.id) }
        expiresAt = askedAt + (answer["ttl_seconds"].asDouble() * TimeUnit.SECONDS.toNanos(1)).toLong()
        return answer["addresses"][0]["address"].asText().also { address = it }
    }

    private fun ask(vm: String) =
        http.send(fleet.callerAddress(vm), "GET", "/v1/addresses").json?.takeIf { it["addresses"]?.isEmpty == false }

    private companion object {
        const val TOKENS = 20
    }
}
