package fireflyhinge.daemon.caller

import fireflyhinge.auth.Access
import fireflyhinge.config.Route
import fireflyhinge.config.RouteKind
import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.FakeEngines
import fireflyhinge.daemon.fake.FakeMembership
import fireflyhinge.daemon.fake.FakePlacement
import fireflyhinge.daemon.fake.FakeQuota
import fireflyhinge.engine.ChatMessage
import fireflyhinge.retry.RetryBudgets
import fireflyhinge.tokens.PromptDigest
import fireflyhinge.tokens.TokenCounter
import org.junit.jupiter.api.Assertions.assertEquals
import java.util.concurrent.Executor

/** The pipeline over fakes, run in the test's thread unless [executor] hands tasks to another one. */
class PipelineFixture(
    limits: PipelineLimits = PipelineLimits(),
    budgets: RetryBudgets = RetryBudgets(),
    executor: Executor = Executor(Runnable::run),
) {
    val engines = FakeEngines(length = 4)
    val quota = FakeQuota()
    val placement = FakePlacement()
    val config = FakeConfig()
    val caller = FakeCaller()
    val sent = ArrayList<String>()
    private val ports = CallerPorts(config, quota, placement, engines, FakeMembership())
    private val pipeline = ModelPipeline(ports, limits, budgets, executor)

    /** Runs a request of 3 prompt tokens for up to [maxTokens]. */
    fun run(
        maxTokens: Int = 10,
        sink: AnswerSink = AnswerSink { sent.add(it) },
        workspace: String? = "blurbs",
    ): ModelResult {
        val messages = listOf(ChatMessage("user", "a b c"))
        val snapshot = config.current()
        val granted = workspace?.let { snapshot.workspaces.getValue(it) }
        val job =
            ModelJob(
                requestId = "r",
                access = Access(granted, granted?.keyHashes?.first()),
                route = Route("curator-model", RouteKind.MODEL, service = "curator"),
                chat = ChatRequest("curator-model", messages, maxTokens, stream = true),
                digest = PromptDigest.of("blurbs", "curator-model", messages, TokenCounter.WORDS),
                arrivedMillis = System.nanoTime() / 1_000_000,
            )
        return pipeline.run(job, caller, sink)
    }

    /** Checks that everything that was taken was given back exactly once. */
    fun assertGivenBack(unused: Double, cancelled: List<String>) {
        assertEquals(quota.charges.map { it.chargeId to unused }, quota.settled.toList(), "settled")
        val granted = placement.placed.map { it.attempt }.filterNot { placement.refusals.containsKey(it) }
        val tickets = granted.map { "ticket$it" }
        assertEquals(tickets, placement.released.toList(), "released")
        assertEquals(cancelled, engines.cancels.map { it.first }, "cancelled")
    }
}
