package fireflyhinge.daemon.engine

import fireflyhinge.engine.DecodeEvent
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class HttpEngineClientTest {
    /** Guards against an answer that differs from the engine's in any byte, and against a slot kept after the end. */
    @Test
    fun fullPathDeliversTheWholeAnswer() {
        EngineFixture().use { f ->
            f.prepare()
            val text = StringBuilder()
            val end =
                f.decode { event ->
                    if (event is DecodeEvent.Token) text.append(event.text)
                    true
                }.value()
            assertEquals(EngineFixture.ANSWER.text(EngineFixture.MAX_TOKENS), text.toString())
            assertEquals(30, end.tokens)
            assertEquals("stop", end.finishReason)
            assertEquals(emptyList<Any>(), f.decode.held + f.prefill.held)
        }
    }
}
