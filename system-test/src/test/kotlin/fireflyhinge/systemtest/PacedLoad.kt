package fireflyhinge.systemtest

import fireflyhinge.engine.ChatMessage
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentLinkedQueue
import java.util.concurrent.TimeUnit

/**
 * Sends requests of [workspace] at fixed intervals through [vms] in turn; each request costs [COST] tokens. They are
 * model requests, or with [plain] calls of the plain service, whose times do not depend on engines.
 */
internal class PacedLoad(
    private val fleet: Fleet,
    private val workspace: WorkspaceSpec,
    private val vms: List<String>,
    private val perSecond: Double,
    private val plain: Boolean = false,
) {
    /** Outcomes so far. */
    val outcomes = ConcurrentLinkedQueue<ChatOutcome>()

    private val caller = ChatCaller()
    private val http = HttpCaller()
    private val calls = mutableListOf<CompletableFuture<*>>()

    @Volatile private var running = true
    private val pacer = inBackground { pace() }

    /** Stops sending and waits for the answers. */
    fun finish(): List<ChatOutcome> {
        running = false
        pacer.join()
        calls.forEach { it.join() }
        return outcomes.toList()
    }

    private fun pace() {
        val start = System.nanoTime()
        var number = 0
        while (running) {
            val due = start + (number * TimeUnit.SECONDS.toNanos(1) / perSecond).toLong()
            TimeUnit.NANOSECONDS.sleep(due - System.nanoTime())
            send(number++)
        }
    }

    private fun send(number: Int) {
        val address = fleet.callerAddress(vms[number % vms.size])
        calls += inBackground { outcomes += if (plain) order(address) else caller.stream(address, call(number)) }
    }

    private fun order(address: String): ChatOutcome {
        val sentAt = System.nanoTime()
        val headers = mapOf("Authorization" to "Bearer ${workspace.key}")
        val answer = http.send(address, "POST", "/services/${TestFleets.SERVICE}/reservations", headers)
        return ChatOutcome(
            workspace = workspace.name,
            intendedAt = sentAt,
            endedAt = System.nanoTime(),
            tokenTimes = emptyList(),
            text = "",
            whole = answer.status == OK,
            status = answer.status,
            code = answer.code,
            run = answer.run,
            promptTokens = COST,
            failure = answer.body,
        )
    }

    private fun call(number: Int): ChatCall {
        val words = List(PROMPT - 2) { "word" }.joinToString(" ")
        val messages = listOf(ChatMessage("user", "$words $number tokens=$OUTPUT"))
        return ChatCall(workspace.name, workspace.key, TestFleets.MODEL, messages, OUTPUT)
    }

    companion object {
        private const val OK = 200

        /** Tokens of each prompt. */
        const val PROMPT = 90

        /** Tokens of each answer and the request's limit. */
        const val OUTPUT = 10

        /** Charge of each request. */
        const val COST = PROMPT + OUTPUT
    }
}
