package fireflyhinge.systemtest

import fireflyhinge.config.Priority
import fireflyhinge.engine.ChatMessage
import fireflyhinge.standin.AnswerGenerator
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.util.concurrent.Callable
import java.util.concurrent.Executors

class WholePathTest {
    // Batch priority, because 200 requests at once do not fit into 40 slots within the first-token target.
    private val workspaces =
        listOf("klerki", "graudi", "lauki", "ligumi", "kopsavilkumi").map {
            WorkspaceSpec(it, rate = 1e6, burst = 1e7, priority = Priority.BATCH)
        }

    /** Guards against answers that are cut, mixed up between requests, or lost under concurrency. */
    @Test
    fun concurrentRequestsGetTheirOwnWholeAnswers() {
        Fleet(TestFleets.small(workspaces = workspaces), TestFleets.logs).use { fleet ->
            fleet.start()
            val caller = ChatCaller()
            val pool = Executors.newFixedThreadPool(REQUESTS)
            val results =
                (0 until REQUESTS)
                    .map { number ->
                        pool.submit(
                            Callable { number to caller.stream(address(fleet, number), call(number)) }
                        )
                    }
                    .map { it.get() }
            pool.shutdown()
            val wrong =
                results.filter { (number, outcome) ->
                    !outcome.whole || outcome.text != expected(number) || outcome.completionTokens != tokens(number)
                }
            assertEquals(emptyList<Any>(), wrong)
        }
    }

    private fun address(fleet: Fleet, number: Int) = fleet.callerAddress("vm-${1 + number % fleet.spec.vms.size}")

    private fun tokens(number: Int) = 5 + number % 40

    private fun messages(number: Int) =
        listOf(
            ChatMessage("system", "Answer for the field office number ${number % 7}."),
            ChatMessage("user", "Request $number about the dryer. tokens=${tokens(number)}"),
        )

    private fun expected(number: Int) = AnswerGenerator(TestFleets.MODEL, messages(number)).text(MAX_TOKENS)

    private fun call(number: Int): ChatCall {
        val workspace = workspaces[number % workspaces.size]
        return ChatCall(workspace.name, workspace.key, TestFleets.MODEL, messages(number), MAX_TOKENS)
    }

    private companion object {
        const val REQUESTS = 200
        const val MAX_TOKENS = 64
    }
}
