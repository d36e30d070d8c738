package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineResult
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import fireflyhinge.retry.RetryBudgets
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class PipelineExitTest {
    private val broken = EngineFailure.Broken("reset")

    /** Guards against upstream work, or a lost settlement, for a request that was refused before it ran. */
    @TestFactory
    fun refusalsArePassedOnAndRunNothing(): List<DynamicTest> =
        listOf(ResultCode.RATE_EXCEEDED, ResultCode.BURST_TOO_SMALL, ResultCode.FINGERPRINT_BARRED).map { code ->
            refused(code, charges = 0) { it.quota.refusal = Outcome.Failure(code, retryAfterMillis = 5) }
        } +
            listOf(ResultCode.CAPACITY_EXHAUSTED, ResultCode.PLACEMENT_UNAVAILABLE).map { code ->
                refused(code, charges = 1) { it.placement.refusals[1] = Outcome.Failure(code, retryAfterMillis = 5) }
            }

    private fun refused(code: ResultCode, charges: Int, prepare: (PipelineFixture) -> Unit) =
        DynamicTest.dynamicTest(code.label) {
            val f = PipelineFixture().also(prepare)
            assertEquals(ModelResult.Failed(Outcome.Failure(code, retryAfterMillis = 5)), f.run())
            assertEquals(charges, f.quota.settled.size)
            assertTrue(f.quota.settled.all { it.second == 13.0 })
            assertEquals(0, f.engines.prefills.size + f.placement.released.size)
        }

    /** Guards against a refusal of a later placement that is passed on as "not run" although the first one ran. */
    @Test
    fun refusedRetryAfterAPrefillIsNotCalledNotRun() {
        val f = PipelineFixture()
        f.engines.faults["import" to 1] = broken
        f.placement.refusals[2] = Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED)
        assertEquals(ResultCode.ATTEMPTS_FAILED, (f.run() as ModelResult.Failed).failure.code)
        f.assertGivenBack(unused = 10.0, cancelled = listOf("p1:1", "d1:1"))
    }

    /** Guards against engine memory that stays allocated to a caller who left, wherever the request was. */
    @TestFactory
    fun departureGivesEverythingBack(): List<DynamicTest> =
        listOf(
            Departure("placement", unused = 13.0, emptyList()) { f -> f.placement.waiting = { f.caller.gone = true } },
            Departure("prefill", unused = 10.0, listOf("p1:1")) { f -> f.at(-1) { f.caller.gone = true } },
            Departure("first token", unused = 10.0, listOf("d1:1")) { f -> f.at(0) { f.caller.gone = true } },
            Departure("third token", unused = 8.0, listOf("d1:1")) { f -> f.at(2) { f.caller.gone = true } },
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val f = PipelineFixture().also(case.prepare)
                assertEquals(ModelResult.Departed, f.run())
                f.assertGivenBack(case.unused, case.cancelled)
            }
        }

    private class Departure(
        val name: String,
        val unused: Double,
        val cancelled: List<String>,
        val prepare: (PipelineFixture) -> Unit,
    )

    private fun PipelineFixture.at(index: Int, action: () -> Unit) {
        engines.before = { _, i -> if (i == index) action() }
    }

    /** Guards against decoding for a caller whose connection no longer takes bytes. */
    @Test
    fun failedWriteEndsTheRequest() {
        val f = PipelineFixture()
        assertEquals(ModelResult.Departed, f.run(sink = { false }))
        f.assertGivenBack(unused = 10.0, cancelled = listOf("d1:1"))
    }

    /** Guards against an answer that goes on, or looks complete, after its key was withdrawn. */
    @TestFactory
    fun withdrawnKeyEndsTheAnswer(): List<DynamicTest> =
        mapOf(-1 to ResultCode.KEY_WITHDRAWN, 0 to ResultCode.KEY_WITHDRAWN, 2 to ResultCode.KEY_WITHDRAWN)
            .map { (index, code) ->
                DynamicTest.dynamicTest("at token $index") {
                    val f = PipelineFixture()
                    f.at(index) { f.config.withdrawKeys() }
                    assertEquals(code, (f.run() as ModelResult.Failed).failure.code)
                    assertEquals(maxOf(0, index), f.sent.size)
                    f.assertGivenBack(10.0 - f.sent.size, listOf(if (index < 0) "p1:1" else "d1:1"))
                }
            }

    /** Guards against work under an expired ticket, whose slot may belong to another request by then. */
    @Test
    fun expiredTicketLeadsToANewPlacement() {
        val f = PipelineFixture()
        f.at(2) { f.placement.expired += "ticket1" }
        assertEquals(4, (f.run() as ModelResult.Answered).completionTokens)
        assertEquals(listOf("t0 ", "t1 "), f.engines.prefills.last().resumedTokens)
        f.assertGivenBack(unused = 6.0, cancelled = listOf("d1:1"))
    }

    /** Guards against leaks when an unexpected exception leaves the pipeline. */
    @Test
    fun exceptionGivesEverythingBack() {
        val f = PipelineFixture()
        f.at(1) { error("bug") }
        assertTrue(runCatching { f.run() }.isFailure)
        f.assertGivenBack(unused = 9.0, cancelled = listOf("d1:1"))
    }

    private fun restarted() = EngineResult.Ok(EngineLoad(incarnation = 2, 0, 0, 20))

    private fun refusedConnection() = EngineResult.Failed(EngineFailure.Unreachable("refused", refused = true))

    private fun noRoute() = EngineResult.Failed(EngineFailure.Unreachable("timeout"))

    /** Guards against crashes that are not attributed, and against network faults that are taken for crashes. */
    @TestFactory
    fun crashNeedsEvidence(): List<DynamicTest> =
        listOf(
            Triple("refused connection", refusedConnection(), 1),
            Triple("new incarnation", restarted(), 1),
            Triple("network fault", noRoute(), 0),
        ).map { (name, load, crashes) ->
            DynamicTest.dynamicTest(name) {
                val f = PipelineFixture()
                f.engines.faults["decode1" to 1] = broken
                f.at(0) { f.engines.loads["d1:1"] = load }
                assertEquals(4, (f.run() as ModelResult.Answered).completionTokens)
                assertEquals(List(crashes) { "d1" to 1L }, f.quota.crashes.map { it.replica to it.replicaIncarnation })
                val retry = f.placement.placed.last()
                assertEquals(crashes, retry.crashes)
                // Suspects may have to wait for one another.
                assertEquals(if (crashes > 0) 60_000 else 10_000, retry.maxWaitMillis)
            }
        }

    /** Guards against a request that takes down a fourth replica, counted with the crashes known at its charge. */
    @TestFactory
    fun thirdCrashEndsTheRequest(): List<DynamicTest> =
        (0..2).map { earlier ->
            DynamicTest.dynamicTest("$earlier crashes before") {
                val f = PipelineFixture().also { it.quota.earlierCrashes = earlier }
                (1..9).forEach { f.crashAt(it) }
                assertEquals(ResultCode.ATTEMPTS_FAILED, (f.run() as ModelResult.Failed).failure.code)
                assertEquals((1..3 - earlier).map { "d$it" }, f.quota.crashes.map { it.replica })
                assertEquals((earlier..2).toList(), f.placement.placed.map { it.crashes })
            }
        }

    /** Guards against an innocent request that ends because crashes use up its attempts or the retry budget. */
    @Test
    fun crashesUseUpNeitherAttemptsNorTheRetryBudget() {
        // The budget holds 3 retries, which covers the two failures that are no crashes.
        val f = PipelineFixture(PipelineLimits(interactiveRetryMillis = 0), RetryBudgets { 0 })
        f.crashAt(1)
        f.crashAt(3)
        listOf(2, 4).forEach { f.engines.faults["decode0" to it] = broken }
        assertEquals(4, (f.run() as ModelResult.Answered).completionTokens)
        assertEquals(5, f.placement.placed.size)
    }

    private fun PipelineFixture.crashAt(attempt: Int) {
        engines.faults["decode0" to attempt] = broken
        engines.loads["d$attempt:1"] = refusedConnection()
    }

    /** Guards against retries that multiply the load of a failing pool. */
    @Test
    fun retriesStayWithinTheBudget() {
        // The budgets' clock stands still and nothing waits for it, so that only requests refill them.
        val f = PipelineFixture(PipelineLimits(interactiveRetryMillis = 0), RetryBudgets { 0 })
        (1..3).forEach { f.engines.faults["decode0" to it] = broken }
        repeat(20) { f.run() }
        // 20 requests, 3 retries saved at the start and a tenth of a retry for each request.
        assertEquals(20 + 5, f.placement.placed.size)
    }

    /** Guards against an accepted request that ends because the budget is used up for a moment. */
    @Test
    fun requestsWaitForTheBudgetInsteadOfEnding() {
        val f = PipelineFixture()
        f.engines.faults["decode0" to 1] = broken
        val results = (1..6).map { f.run() }
        assertEquals(6, results.filterIsInstance<ModelResult.Answered>().size)
    }
}
