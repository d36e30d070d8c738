package fireflyhinge.daemon.golden

import ch.qos.logback.classic.Logger
import fireflyhinge.daemon.fake.FakeConfig
import fireflyhinge.daemon.fake.Fixture
import fireflyhinge.daemon.fake.TestUpstream
import fireflyhinge.daemon.http.RawHttp
import org.slf4j.LoggerFactory
import java.net.Socket

/** A caller's session with a daemon over fakes, recorded as text. */
class GoldenSession : AutoCloseable {
    private val recorder = SessionRecorder()
    private val root = LoggerFactory.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME) as Logger
    val fixture = Fixture(recorder = recorder)

    /** Answer of the plain service; null closes the connection after the call has run. */
    var answer: String? = TestUpstream.ok("sold")
    private val upstream =
        TestUpstream { request ->
            recorder.note("service call\n$request")
            answer
        }

    init {
        recorder.start()
        root.addAppender(recorder)
        fixture.config.shopAt(upstream.address)
    }

    /** Runs [case] and returns its record. */
    fun run(case: GoldenCase): String {
        case.prepare(this)
        val bytes = case.requests.map { exchange(it, case.leavesAfter) }
        waitForEnd(case.requests.size)
        return Normalizer.normalize(bytes.joinToString("") + recorder.text())
    }

    private fun exchange(request: String, leavesAfter: String?): String {
        recorder.note("--- request")
        val answer =
            fixture.socket().use { socket ->
                leavesAfter?.let { part(socket, request, it) } ?: RawHttp.exchange(socket, request, SILENCE)
            }
        // Only here may the key be hidden: the check for keys must see it everywhere else.
        val shown = request.replace(FakeConfig.KEY, "<key>")
        return "=== request\n$shown\n=== answer\n$answer\n"
    }

    private fun part(socket: Socket, request: String, until: String): String {
        socket.getOutputStream().write(request.toByteArray())
        val text = StringBuilder()
        while (until !in text || !text.endsWith("\n\n\r\n")) text.append(socket.getInputStream().read().toChar())
        return text.toString()
    }

    private fun waitForEnd(requests: Int) {
        val end = System.nanoTime() + SILENCE * 1_000_000L
        while (!ended(requests) && System.nanoTime() < end) Thread.sleep(5)
        check(ended(requests)) { "the session keeps a charge or a ticket, or does not log its end" }
    }

    // Counts notes, as the fakes know of a call before it is noted.
    private fun ended(requests: Int): Boolean {
        val charged = if (fixture.quota.refusal == null) recorder.count("charge") else 0
        // The end is logged after the charge is settled, and a caller that has left does not wait for it.
        val logged = recorder.ends == requests
        return logged && recorder.count("settle") == charged && recorder.count("release") == recorder.count("place")
    }

    override fun close() {
        root.detachAppender(recorder)
        fixture.close()
        upstream.close()
    }

    private companion object {
        const val SILENCE = 5000
    }
}
