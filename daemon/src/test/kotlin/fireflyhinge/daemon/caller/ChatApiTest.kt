package fireflyhinge.daemon.caller

import fireflyhinge.Json
import fireflyhinge.daemon.fake.FakeConfig
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

    /** Guards against an open model that asks for a key, and against its quota being taken from nobody known. */
    @Test
    fun openModelNeedsNoKeyAndIsChargedToTheOpenWorkspace() {
        fixture.config.update { it.copy(routes = it.routes.mapValues { (_, r) -> r.copy(open = true) }) }
        val body = Fixture.chat()
        assertEquals(200, fixture.send("/v1/chat/completions", "POST", body, emptyList()).statusCode())
        assertEquals(0, fixture.quota.charges.size)
        val open = FakeConfig.workspace("open", keys = emptyList())
        fixture.config.update { it.copy(workspaces = it.workspaces + ("open" to open)) }
        assertEquals(200, fixture.send("/v1/chat/completions", "POST", body, emptyList()).statusCode())
        assertEquals(listOf("open"), fixture.quota.charges.map { it.workspace })
        val list = Json.mapper.readTree(fixture.send("/v1/models", "GET", "", emptyList()).body())
        assertEquals(listOf("curator-model", "other-model"), list["data"].map { it["id"].asText() })
    }

    /** Guards against an engine that gets the caller's key as part of a prompt. */
    @Test
    fun promptWithTheKeyIsRefused() {
        val answer = fixture.post("/v1/chat/completions", Fixture.chat().replace("two", FakeConfig.KEY))
        assertEquals("FH-1002", Json.mapper.readTree(answer.body()).at("/error/code").asText())
        assertEquals(0, fixture.engines.prefills.size)
    }

    /** Guards against charges that differ from what the request may use, and against unscoped prefix hashes. */
    @Test
    fun chargeAndPlacementDescribeTheRequest() {
        val prompt = (1..2500).joinToString(" ")
        fixture.post("/v1/chat/completions", Fixture.chat(maxTokens = 8).replace("one two three", prompt))
        assertEquals(2508.0, fixture.quota.charges.single().tokens)
        val placed = fixture.placement.placed.single()
        assertEquals(listOf(2500, 8, 2), listOf(placed.promptTokens, placed.maxOutputTokens, placed.prefixHashes.size))
        val other = listOf("Authorization", "Bearer ${FakeConfig.OTHER_KEY}")
        val body = Fixture.chat().replace("one two three", prompt)
        fixture.send("/v1/chat/completions", "POST", body, other)
        val hashes = fixture.placement.placed.flatMap { it.prefixHashes + it.fingerprint }
        assertEquals(6, hashes.toSet().size)
    }
}
