package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineResult
import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

class UndecidedCrashTest {
    private val limits =
        PipelineLimits(
            crashProbeMillis = PROBE_MILLIS,
            interactiveRetryMillis = LIMIT_MILLIS,
            suspectMillis = LIMIT_MILLIS,
        )
    private val alive = EngineResult.Ok(EngineLoad(incarnation = 1, running = 0, queuedPrefillTokens = 0, slots = 20))
    private val refused = EngineResult.Failed(EngineFailure.Unreachable("refused", refused = true))
    private val silent = EngineResult.Failed(EngineFailure.Unreachable("timeout"))

    @Volatile
    private var probeDelay = 0L
    private val executor =
        Executor { if (probeDelay == 0L) it.run() else after(probeDelay, it::run) }

    private fun after(millis: Long, action: () -> Unit) =
        CompletableFuture.delayedExecutor(millis, TimeUnit.MILLISECONDS).execute(action)

    private fun fixture() = PipelineFixture(limits, executor = executor).also { probeDelay = 0 }

    /** Breaks each attempt after its first token and then calls [action] with the address of the broken replica. */
    private fun PipelineFixture.breakEach(attempts: IntRange, action: (attempt: Int, address: String) -> Unit) {
        attempts.forEach { engines.faults["decode1" to it] = EngineFailure.Broken("reset") }
        engines.before = { id, index ->
            if (index == 0 && id.attempt in attempts) action(id.attempt, "d${id.attempt}:1")
        }
    }

    private class Case(
        val name: String,
        val earlier: Int,
        val crashed: List<String>,
        val broken: (fixture: PipelineFixture, attempt: Int, address: String) -> Unit,
    )

    /** Guards against a fourth replica that gets a crashing request because the verdict on an earlier one is late. */
    @TestFactory
    fun noMoreThanThreeReplicasCrash(): List<DynamicTest> =
        listOf(
            Case("verdict on the last replica is late", earlier = 0, listOf("d1", "d2", "d3")) { f, attempt, address ->
                f.engines.loads[address] = refused
                if (attempt == 3) probeDelay = LATE_MILLIS
            },
            Case("verdict on each replica is late", earlier = 0, listOf("d1", "d2", "d3")) { f, _, address ->
                f.engines.loads[address] = refused
                probeDelay = LATE_MILLIS
            },
            Case("verdict after two crashes before the charge is late", earlier = 2, listOf("d1")) { f, _, address ->
                f.engines.loads[address] = refused
                probeDelay = LATE_MILLIS
            },
            Case("replica is silent and then refuses", earlier = 2, listOf("d1")) { f, _, address ->
                f.engines.loads[address] = silent
                after(LATE_MILLIS) { f.engines.loads[address] = refused }
            },
            Case("replica stays silent", earlier = 2, emptyList()) { f, _, address ->
                f.engines.loads[address] = silent
            },
        ).map { case ->
            DynamicTest.dynamicTest(case.name) {
                val f = fixture().also { it.quota.earlierCrashes = case.earlier }
                f.breakEach(1..9) { attempt, address -> case.broken(f, attempt, address) }
                assertEquals(ResultCode.ANSWER_INTERRUPTED, (f.run() as ModelResult.Failed).failure.code)
                assertEquals(3 - case.earlier, f.placement.placed.size, "placements")
                assertEquals(case.crashed, f.quota.crashes.map { it.replica }.sorted(), "reported")
            }
        }

    /** Guards against an innocent request that ends because a verdict came late. */
    @Test
    fun lateVerdictThatTheReplicaIsAliveLetsTheRequestGoOn() {
        val f = fixture().also { it.quota.earlierCrashes = 2 }
        f.breakEach(1..1) { _, address ->
            f.engines.loads[address] = alive
            probeDelay = LATE_MILLIS
        }
        assertEquals(4, (f.run() as ModelResult.Answered).completionTokens)
        assertEquals(2, f.placement.placed.size)
        assertTrue(f.quota.crashes.isEmpty())
    }

    /** Guards against a repeat through another VM whose charge does not know of the crash yet. */
    @Test
    fun failureIsAnsweredAfterTheCrashIsReported() {
        val f = fixture()
        f.breakEach(1..1) { _, address ->
            f.engines.loads[address] = refused
            f.placement.refusals[2] = Outcome.Failure(ResultCode.CAPACITY_EXHAUSTED)
            probeDelay = LATE_MILLIS
        }
        assertEquals(ResultCode.ANSWER_INTERRUPTED, (f.run() as ModelResult.Failed).failure.code)
        assertEquals(listOf("d1"), f.quota.crashes.map { it.replica })
    }

    private companion object {
        const val PROBE_MILLIS = 50L
        const val LATE_MILLIS = 4 * PROBE_MILLIS
        const val LIMIT_MILLIS = 40 * PROBE_MILLIS
    }
}
