package fireflyhinge.standin

import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.io.IOException

class PlainServerTest {
    private val server = PlainServer()
    private val client = OkHttpClient.Builder().retryOnConnectionFailure(false).build()

    @AfterEach
    fun close() = server.close()

    private fun call(body: String = "{}", key: String? = null): Int {
        val request = Request.Builder().url("http://${server.address}/orders").post(body.toRequestBody())
        key?.let { request.header("Idempotency-Key", it) }
        return client.newCall(request.build()).execute().use { it.code }
    }

    /** Guards against runs that are counted under a wrong key, and against refused calls that are counted as run. */
    @Test
    fun runsAreCountedByKey() {
        call(key = "k1")
        call(key = "k1")
        call(body = """{"id":"b7"}""")
        call(body = "no JSON")
        server.faults.refuse = true
        assertEquals(503, call(key = "k1"))
        assertEquals(mapOf("k1" to 2, "b7" to 1, "none" to 1), server.record.runsByKey())
        assertEquals("k1", server.record.received().first().headers["idempotency-key"])
    }

    /** Guards against a lost answer whose call did not run. */
    @Test
    fun closedCallHasRun() {
        server.faults.closeAfterRun(1)
        assertThrows(IOException::class.java) { call(key = "k1") }
        assertEquals(200, call(key = "k2"))
        assertEquals(mapOf("k1" to 1, "k2" to 1), server.record.runsByKey())
    }
}
