package fireflyhinge.standin

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.io.IOException
import java.util.concurrent.TimeUnit

class StandinProcessTest {
    private val client = OkHttpClient()

    private fun start(vararg args: String): Process {
        val java = ProcessHandle.current().info().command().orElse("java")
        val options = listOf("-Xmx128m", "-XX:+UseSerialGC", "-cp", System.getProperty("java.class.path"))
        val command = listOf(java) + options + "fireflyhinge.standin.StandinKt" + args
        return ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start()
    }

    private fun Process.address(): String = Json.decode<JsonNode>(inputReader().readLine())["listening"].asText()

    private fun status(url: String, post: Boolean = false): Int {
        val request = Request.Builder().url(url)
        if (post) request.post("".toRequestBody())
        return client.newCall(request.build()).execute().use { it.code }
    }

    /** Guards against subcommands that do not start, or that print other lines before their address. */
    @Test
    fun eachSubcommandPrintsItsAddressAndServes() {
        val cases = mapOf("store" to "/v1/vms", "engine" to "/v1/load", "service" to "/v1/load")
        cases.forEach { (kind, path) ->
            val process = start(kind, "--listen", "127.0.0.1:0")
            try {
                assertEquals(200, status("http://${process.address()}$path"), kind)
            } finally {
                process.destroyForcibly()
            }
        }
    }

    /** Guards against a crashed engine whose process lives on. */
    @Test
    fun crashEndsTheProcess() {
        val process = start("engine", "--role", "decode")
        try {
            val address = process.address()
            assertThrows(IOException::class.java) { status("http://$address/control/crash", post = true) }
            assertTrue(process.waitFor(5, TimeUnit.SECONDS))
        } finally {
            process.destroyForcibly()
        }
    }

    /** Guards against a stand-in that reports an address although its port is taken. */
    @Test
    fun takenPortIsAnError() {
        PlainServer().use { first ->
            assertThrows(Exception::class.java) { PlainServer(listen = first.address).close() }
        }
    }
}
