package fireflyhinge.gateway.fleet

import fireflyhinge.forward.DownVms
import fireflyhinge.forward.FailureDomains
import fireflyhinge.forward.FleetView
import fireflyhinge.forward.QuotaHolders
import fireflyhinge.forward.VmRecord
import fireflyhinge.gateway.http.ConnectionPool
import fireflyhinge.gateway.http.HttpClient
import fireflyhinge.gateway.http.IoLoop
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertThrows
import org.junit.jupiter.api.Test
import java.net.InetAddress
import java.net.ServerSocket
import java.net.SocketTimeoutException
import kotlin.concurrent.thread

class PeerQuotaBorrowerTest {
    private val loopback = InetAddress.getLoopbackAddress()

    private fun vm(name: String, port: Int) =
        VmRecord(name, "127.0.0.1:1", "127.0.0.1:$port", "north", startedAt = 1, heartbeat = 1)

    /**
     * Guards against a loan that is lost, and a second attempt soon after, when a holder of a share refuses the
     * connection; and against the claim that a workspace is over its limit when a holder did not answer or is young.
     */
    @Test
    fun aHolderThatRefusesConnectionsIsNotAskedAgain() {
        listOf(
            7.0 to """{"workspace":"w","tokens":7.0}""",
            0.0 to """{"workspace":"w","tokens":0,"young":true}""",
        ).forEach { (tokens, answer) -> IoLoop().use { io -> borrowTwice(io, tokens, answer) } }
    }

    private fun borrowTwice(io: IoLoop, tokens: Double, answer: String) {
        ServerSocket(0, BACKLOG, loopback).use { lender ->
            val downPort = ServerSocket(0, BACKLOG, loopback).use { it.localPort }
            val peers = PeerClient(HttpClient(ConnectionPool(io)))
            val borrower = borrower(peers, listOf(vm("down", downPort), vm("up", lender.localPort)))
            thread(isDaemon = true) { serve(lender, answer) }
            // Loading the classes of the first call takes longer than a loan may.
            runBlocking { peers.post("127.0.0.1:${lender.localPort}", "/", ByteArray(0), WARM_UP_MILLIS) }
            assertEquals(Loan(tokens, complete = false), runBlocking { borrower.borrow("w", 100.0) })
            ServerSocket(downPort, BACKLOG, loopback).use { restarted ->
                assertEquals(Loan(tokens, complete = false), runBlocking { borrower.borrow("w", 100.0) })
                restarted.soTimeout = QUIET_MILLIS
                assertThrows(SocketTimeoutException::class.java) { restarted.accept() }
            }
        }
    }

    private fun borrower(peers: PeerClient, others: List<VmRecord>): PeerQuotaBorrower {
        val fleet = FleetView(vm("own", 1))
        fleet.merge(others)
        val down = DownVms(fleet)
        val holders = QuotaHolders(fleet, down, firstStart = true)
        holders.listed = true
        holders.listening()
        val metrics = QuotaMetrics(PrometheusRegistry())
        return PeerQuotaBorrower(fleet, holders, down, FailureDomains("north", emptyMap()), peers, metrics)
    }

    /** Answers each request on the first connection with [answer]. */
    private fun serve(server: ServerSocket, answer: String) {
        server.accept().use { socket ->
            val input = socket.getInputStream().bufferedReader()
            while (true) {
                val head = generateSequence { input.readLine() }.takeWhile { it.isNotEmpty() }.toList()
                if (head.isEmpty()) return
                val length = head.first { it.startsWith("content-length", ignoreCase = true) }.substringAfter(':')
                repeat(length.trim().toInt()) { input.read() }
                val text = "HTTP/1.1 200 OK\r\nContent-Length: ${answer.length}\r\n\r\n$answer"
                socket.getOutputStream().write(text.toByteArray())
            }
        }
    }

    private companion object {
        const val BACKLOG = 5
        const val WARM_UP_MILLIS = 5_000L

        /** An attempt that was made arrives within this time. */
        const val QUIET_MILLIS = 200
    }
}
