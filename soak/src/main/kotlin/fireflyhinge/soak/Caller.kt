package fireflyhinge.soak

import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.SocketTimeoutException
import kotlin.random.Random

/** Sends requests one after the other until [until], on kept and new connections, and leaves some of them early. */
internal class Caller(
    private val index: Int,
    private val shared: Shared,
    private val until: Long,
) : Runnable {
    /** What all callers use. */
    class Shared(
        val seed: Long,
        val gateways: List<GatewayAddress>,
        val ledger: Ledger,
        val keys: Keys,
        val tally: Tally,
        val clock: Clock,
    )

    private val log = LoggerFactory.getLogger(javaClass)
    private val random = Random(shared.seed * CALLERS + index)

    /** Apart from [random], so that the same seed sends the same kinds of requests with and without deadly ones. */
    private val deadly = Random(shared.seed * CALLERS + index + DEADLY_SALT)
    private var kept: CallerSocket? = null
    private var number = 0

    override fun run() {
        while (shared.clock.millis() < until) {
            Thread.sleep(random.nextLong(if (random.nextDouble() < IDLE_SHARE) IDLE_MILLIS else PAUSE_MILLIS))
            try {
                call(connection())
            } catch (e: IOException) {
                log.debug("caller {} lost its connection: {}", index, e.message)
                shared.tally.add("unsent")
                drop()
            }
        }
        drop()
    }

    private fun connection(): CallerSocket {
        if (random.nextDouble() < NEW_SHARE) drop()
        return kept ?: CallerSocket(shared.gateways.random(random)).also { kept = it }
    }

    private fun call(socket: CallerSocket) {
        val kind = CallKind.entries.random(random)
        val request =
            Sent(
                id = "s${shared.seed}-$index-${number++}",
                kind = kind,
                key = if (random.nextDouble() < OLD_KEY_SHARE) shared.keys.any(random::nextInt) else Keys.LASTING,
                gateway = socket.gateway.index,
                at = shared.clock.millis(),
                idle = socket.answeredAt?.let { shared.clock.millis() - it },
                deadly = kind.stream && deadly.nextDouble() < DEADLY_SHARE,
            )
        val bytes = socket.unasked()
        shared.ledger.sent(request)
        if (shared.ledger.mustBeDenied(request)) shared.tally.add(Tally.WITHDRAWN)
        if (bytes.isNotEmpty()) {
            shared.ledger.unasked(request.id, bytes)
            return drop()
        }
        socket.send(request)
        if (random.nextDouble() < LEAVE_SHARE) {
            socket.leave(1 + random.nextInt(LEAVE_MILLIS))
            shared.tally.add("left")
            return drop()
        }
        val reply = answer(socket, request, shared.clock.millis())
        if (reply?.whole != true || reply.headers["connection"].equals("close", ignoreCase = true)) drop()
    }

    private fun answer(socket: CallerSocket, request: Sent, sentAt: Long): Reply? {
        var silent = false
        val reply =
            try {
                socket.answer()
            } catch (e: SocketTimeoutException) {
                log.debug("caller {} got no answer: {}", index, e.message)
                silent = true
                null
            } catch (e: IOException) {
                log.debug("caller {} lost its connection: {}", index, e.message)
                null
            }
        if (reply != null) shared.ledger.received(request.id, reply)
        if (reply?.whole == true) socket.answeredAt = shared.clock.millis()
        if (reply?.whole != true) {
            val now = shared.clock.millis()
            val end = Unanswered(now, now - sentAt, reply?.body?.length, silent)
            shared.tally.add("unanswered-${shared.ledger.unanswered(request.id, end)}")
        }
        val status = if (reply?.whole == true) "${reply.status}" else "broken"
        if (reply != null) shared.tally.add("${request.kind}-$status")
        return reply
    }

    private fun drop() {
        kept?.close()
        kept = null
    }

    private companion object {
        const val CALLERS = 1_000L
        const val PAUSE_MILLIS = 100L

        /** Pauses around the lower idle limits of [Configuration]. */
        const val IDLE_MILLIS = 1_500L
        const val IDLE_SHARE = 0.05
        const val LEAVE_MILLIS = 400
        const val NEW_SHARE = 0.15
        const val OLD_KEY_SHARE = 0.25
        const val LEAVE_SHARE = 0.06
        const val DEADLY_SHARE = 0.02
        const val DEADLY_SALT = 1_000_000_007L
    }
}
