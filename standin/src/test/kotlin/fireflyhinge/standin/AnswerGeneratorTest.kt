package fireflyhinge.standin

import fireflyhinge.engine.ChatMessage
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test

class AnswerGeneratorTest {
    private fun answer(content: String, role: String = "user", model: String = "m") =
        AnswerGenerator(model = model, messages = listOf(ChatMessage(role = role, content = content)))

    /** Guards against answers that cannot tell a crossed reply from the right one. */
    @Test
    fun answersDependOnModelAndMessagesOnly() {
        val text = answer("a tokens=20").text(maxTokens = 100)
        assertEquals(text, answer("a tokens=20").text(maxTokens = 100))
        listOf(
            answer("b tokens=20"),
            answer("a tokens=20", role = "system"),
            answer("a tokens=20", model = "n"),
        ).forEach { assertNotEquals(text, it.text(maxTokens = 100)) }
    }

    /** Guards against counts over the limit and against a wrong finish reason. */
    @Test
    fun countIsLimited() {
        val cases = listOf(50 to (20 to "stop"), 20 to (20 to "stop"), 7 to (7 to "length"))
        cases.forEach { (max, expected) ->
            val answer = answer("tokens=20")
            assertEquals(expected, answer.count(max) to answer.finishReason(max), "limit $max")
        }
        (1..50).forEach { i -> assertEquals(true, answer("question $i").count(maxTokens = 1_000) in 1..200) }
    }
}
