package fireflyhinge.daemon.caller

import fireflyhinge.Json
import fireflyhinge.daemon.fake.Fixture
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class ChatApiTest {
    private val fixture = Fixture()

    @AfterEach
    fun close() = fixture.close()

    /** Guards against an answer that loses, repeats or reorders tokens, or lacks its end. */
    @Test
    fun streamedAnswerHasEachTokenOnceAndAnEnd() {
        val answer = fixture.post("/v1/chat/completions", Fixture.chat(stream = true))
        assertEquals(200, answer.statusCode())
        val events = answer.body().split("\n\n").filter { it.isNotEmpty() }.map { it.removePrefix("data: ") }
        assertEquals("[DONE]", events.last())
        val chunks = events.dropLast(1).map { Json.mapper.readTree(it) }
        val text = chunks.joinToString("") { it.at("/choices/0/delta/content").asText("") }
        assertEquals("t0 t1 t2 t3 t4 ", text)
        assertEquals("stop", chunks.last().at("/choices/0/finish_reason").asText())
        assertEquals(3, chunks.last().at("/usage/prompt_tokens").asInt())
        assertEquals(5, chunks.last().at("/usage/completion_tokens").asInt())
    }

    /** Guards against a whole answer that differs from the streamed one. */
    @Test
    fun wholeAnswerHasTextAndUsage() {
        val answer = Json.mapper.readTree(fixture.post("/v1/chat/completions", Fixture.chat(stream = false)).body())
        assertEquals("t0 t1 t2 t3 t4 ", answer.at("/choices/0/message/content").asText())
        assertEquals(8, answer.at("/usage/total_tokens").asInt())
    }
}
