package fireflyhinge.soak

import org.slf4j.LoggerFactory
import java.io.IOException
import java.net.InetAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.atomic.AtomicLong
import kotlin.concurrent.thread

/**
 * Stands in for a replica that keeps the protocol or, as [plan] decides for each call, breaks it. [onCrash] is called
 * when it begins to answer a deadly request.
 */
internal class ReplicaStandin(
    val id: String,
    private val ledger: Ledger,
    private val plan: MischiefPlan,
    private val onCrash: () -> Unit,
) : AutoCloseable {
    private val log = LoggerFactory.getLogger(javaClass)
    private val server = ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress())
    private val calls = AtomicLong()
    val port: Int get() = server.localPort

    init {
        thread(isDaemon = true, name = id) { accept() }
    }

    override fun close() = server.close()

    private fun accept() {
        try {
            while (true) {
                val socket = server.accept()
                thread(isDaemon = true, name = "$id-wire") { serve(socket) }
            }
        } catch (e: IOException) {
            log.debug("replica {} ends: {}", id, e.message)
        }
    }

    private fun serve(socket: Socket) {
        try {
            socket.use {
                val input = HttpInput(socket.getInputStream())
                val wire = ReplicaWire(socket)
                generateSequence { if (socket.isClosed) null else next(input) }.forEach { answer(it, wire) }
            }
        } catch (e: IOException) {
            log.debug("connection to {} ends: {}", id, e.message)
        }
    }

    private fun next(input: HttpInput): ReplicaCall? {
        val head = input.head() ?: return null
        val body = StringBuilder()
        val whole = input.body(head, closeEnds = false) { body.append(it) }
        return if (whole) ReplicaCall(head, body.toString()) else null
    }

    private fun answer(call: ReplicaCall, wire: ReplicaWire) {
        val number = calls.incrementAndGet()
        val kind = plan.pick(id, number)
        val stamp = "$id.$number"
        if (wire.pending.isNotEmpty()) wire.send(wire.pending.also { wire.pending = "" })
        if (!call.own) ledger.reached(call.id.orEmpty(), id)
        val script = AnswerScript(call, stamp, kind, wire, ledger)
        when {
            call.expected != null && call.expected != id -> script.reject(MISDIRECTED)
            kind == Mischief.REJECTED -> script.reject(FULL)
            call.own -> script.system("""{"reserve":"place-$number"}""")
            call.prefill -> script.system("""{"kvHandle":"h$number","tokenCounts":1000,"version":1}""")
            call.deadly -> crash(call)
            else -> script.run()
        }
    }

    private fun crash(call: ReplicaCall) {
        ledger.began(call.id.orEmpty(), call.path, call.body, call.workspace)
        onCrash()
    }

    private companion object {
        const val BACKLOG = 200
        const val MISDIRECTED = 421
        const val FULL = 503
    }
}
