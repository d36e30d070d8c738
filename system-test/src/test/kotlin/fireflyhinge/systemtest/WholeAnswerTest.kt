package fireflyhinge.systemtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestInstance
import org.junit.jupiter.api.extension.RegisterExtension
import java.util.concurrent.TimeUnit

@TestInstance(TestInstance.Lifecycle.PER_CLASS)
class WholeAnswerTest {
    @RegisterExtension
    @JvmField
    internal val running =
        FleetExtension(
            TestFleets.small(
                decode = 5,
                decodeArguments = TestFleets.SLOW_DECODE,
            ),
        )
    private val fleet = running.fleet
    private val calls = ModelCalls(fleet)

    /** Guards against answers with missing, repeated or foreign tokens after their decode engine was killed. */
    @Test
    fun answersContinueAtTheNextTokenAfterTheDecodeEngineWasKilled() =
        killDuringAnswers(listOf("decode-1"), mode = "off")

    /** Guards against the same when two engines are killed one after the other. */
    @Test
    fun answersContinueAfterTwoDecodeEnginesWereKilled() =
        killDuringAnswers(listOf("decode-2", "decode-3"), mode = "off")

    /** Guards against answers that end with an engine when the store is down as well. */
    @Test
    fun answersContinueAfterTheDecodeEngineWasKilledWhileTheStoreIsDown() =
        killDuringAnswers(listOf("decode-4"), mode = "refuse")

    private fun killDuringAnswers(engines: List<String>, mode: String) {
        val topics = (1..REQUESTS).map { "answer $it, $engines killed" }
        val answers =
            fleet.withoutStore(mode) {
                val started = topics.mapIndexed { i, topic -> calls.start(vm(i), topic, TOKENS) }
                val killedAt = engines.map { kill(it) }.last()
                started.map { it.get() }.also { measure(engines, mode, killedAt, it) }
            }
        val expected = topics.map { true to calls.expected(it, TOKENS) }
        assertEquals(expected, answers.map { it.whole to it.text }, "${answers.mapNotNull { it.code ?: it.failure }}")
        assertEquals(topics.map { TOKENS }, answers.map { it.completionTokens })
    }

    private fun kill(engine: String): Long {
        val process = fleet.upstreams.getValue(engine)
        fleet.await("$engine decodes nothing") { running(process) > 0 }
        Thread.sleep(SOME_TOKENS_MILLIS)
        process.kill()
        return System.nanoTime()
    }

    private fun running(process: ManagedProcess) = fleet.read(process.listening, "/v1/requests")?.size() ?: 0

    private fun vm(number: Int) = fleet.spec.vms[number % fleet.spec.vms.size].id

    private fun measure(engines: List<String>, mode: String, killedAt: Long, answers: List<ChatOutcome>) {
        val after = answers.map { answer -> listOf(killedAt) + answer.tokenTimes.filter { it > killedAt } }
        val pause = after.maxOf { times -> times.zipWithNext { a, b -> b - a }.maxOrNull() ?: 0 }
        val longest = pause / TimeUnit.SECONDS.toNanos(1).toDouble()
        recovered("${engines.size} decode engines killed, store $mode, longest pause of an answer", longest)
    }

    private companion object {
        const val REQUESTS = 15
        const val TOKENS = 240
        const val SOME_TOKENS_MILLIS = 1_000L
    }
}
