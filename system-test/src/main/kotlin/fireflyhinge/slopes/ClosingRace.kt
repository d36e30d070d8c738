package fireflyhinge.slopes

import fireflyhinge.daemon.http.HttpHost
import fireflyhinge.daemon.http.HttpLimits
import fireflyhinge.daemon.http.useNumberedErrors
import io.javalin.Javalin
import java.net.InetSocketAddress
import java.util.concurrent.Callable
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executors
import java.util.concurrent.atomic.AtomicInteger
import kotlin.random.Random

/**
 * Counts requests on keep-alive connections that are lost when their server stops. A server that closes an idle
 * connection by itself can do so while a request is on its way; one that announces the close on an answer gets no
 * request after it. Servers replace one another until all requests are sent, so that many of them meet a stop.
 */
internal class ClosingRace(private val rule: ClosingRule) {
    private val left = AtomicInteger(REQUESTS)
    private val results = ConcurrentHashMap<CallResult, AtomicInteger>()
    private var stops = 0

    @Volatile
    private var current = server()

    /** Runs all requests and returns the table row. */
    fun run(): String {
        val workers = Executors.newFixedThreadPool(CALLERS)
        val callers = (0 until CALLERS).map { number -> workers.submit(Callable { call(Random(number)) }) }
        while (left.get() > 0) replace()
        callers.forEach { it.get() }
        workers.shutdown()
        current.close()
        val counts = CallResult.entries.joinToString(" | ") { "${results[it]?.get() ?: 0}" }
        return "| ${rule.text} | $stops | $counts |"
    }

    private fun replace() {
        Thread.sleep(SERVE_MILLIS)
        val old = current
        current = server()
        rule.stop(old, ADDRESS_MILLIS)
        stops++
    }

    private fun call(random: Random) =
        KeepAliveCaller(portOf = { current.port }, oneWayMillis = ONE_WAY_MILLIS).use { caller ->
            while (left.getAndDecrement() > 0) {
                Thread.sleep(random.nextLong(THINK_MILLIS))
                results.computeIfAbsent(caller.call()) { AtomicInteger() }.incrementAndGet()
            }
        }

    private fun server(): HttpHost =
        HttpHost(
            Javalin.create { app ->
                app.useNumberedErrors()
                app.routes.get("/x") { ctx -> ctx.result(KeepAliveCaller.BODY) }
            },
            InetSocketAddress("127.0.0.1", 0),
            HttpLimits(maxThreads = 2 * CALLERS),
        ).start()

    companion object {
        private const val REQUESTS = 10_000
        private const val CALLERS = 50
        private const val THINK_MILLIS = 60L
        private const val SERVE_MILLIS = 50L

        // Callers drop an address as soon as it is replaced; requests that were begun before are under way.
        private const val ADDRESS_MILLIS = 100L

        // "A few ms to clients" on the design page.
        private const val ONE_WAY_MILLIS = 2L

        /** Measures both rules and passes each line to [print]. */
        fun run(print: (String) -> Unit) {
            print("| rule | stops | answered | refused | lost | not connected |")
            print("| --- | --- | --- | --- | --- | --- |")
            ClosingRule.entries.forEach { print(ClosingRace(it).run()) }
        }
    }
}
