package fireflyhinge.daemon.engine

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest
import fireflyhinge.engine.EngineRequestId
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class DecodeSequenceTest {
    private val id = EngineRequestId(request = "r1", attempt = 2)

    private fun token(index: Int, of: EngineRequestId = id) = DecodeEvent.Token(id = of, index = index, text = "a ")

    private fun end(tokens: Int, of: EngineRequestId = id) =
        DecodeEvent.End(id = of, finishReason = "stop", tokens = tokens)

    /** Guards against crossed, late, repeated and missing events that change the answer, each after token 5. */
    @Test
    fun onlyTheNextEventOfTheSameAttemptIsAccepted() {
        val otherRequest = id.copy(request = "r2")
        val otherAttempt = id.copy(attempt = 1)
        val cases =
            listOf(
                token(6) to EventCheck.NEXT,
                token(6, otherRequest) to EventCheck.FOREIGN,
                token(6, otherAttempt) to EventCheck.FOREIGN,
                token(5) to EventCheck.FOREIGN,
                token(7) to EventCheck.GAP,
                end(6) to EventCheck.NEXT,
                end(6, otherRequest) to EventCheck.FOREIGN,
                end(6, otherAttempt) to EventCheck.FOREIGN,
                end(7) to EventCheck.GAP,
                end(5) to EventCheck.GAP,
            )
        cases.forEach { (event, expected) ->
            val sequence = DecodeSequence(DecodeRequest(id = id, maxTokens = 9, firstIndex = 5))
            assertEquals(EventCheck.NEXT, sequence.check(token(5)))
            assertEquals(expected, sequence.check(event), "$event")
        }
    }
}
