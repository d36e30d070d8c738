package fireflyhinge.slopes

import fireflyhinge.engine.ChatMessage
import fireflyhinge.systemtest.ChatCall
import fireflyhinge.systemtest.ChatCaller
import fireflyhinge.systemtest.ChatOutcome
import fireflyhinge.systemtest.Fleet
import java.util.concurrent.Callable
import java.util.concurrent.Executors

/** Processor time per request and streamed token, and heap by open streams, of one daemon under a counted load. */
internal class PathSlopes(private val fleet: Fleet) {
    private val caller = ChatCaller()
    private val usage = ProcessUsage(fleet.daemons.getValue(VM).pid)
    private val address = fleet.callerAddress(VM)
    private val key = fleet.spec.workspaces.first().key

    /** Measures loads of several lengths, then the heap, and passes each line to [print]. */
    fun run(print: (String) -> Unit) {
        load(WARM_REQUESTS, tokens = 20, threads = THREADS)
        OUTPUTS.forEach { print(counted(it)) }
        print(added())
        print("open streams 0: heap ${usage.liveHeapBytes()} B")
        STREAMS.forEach { print(open(it)) }
    }

    private fun counted(tokens: Int): String {
        val before = usage.processorSeconds()
        val outcomes = load(REQUESTS, tokens, THREADS)
        val seconds = usage.processorSeconds() - before
        val whole = outcomes.count { it.whole }
        val first = outcomes.mapNotNull { it.firstTokenMillis }.sorted().let { it.getOrNull(it.size / 2) }
        val streamed = outcomes.sumOf { it.tokenTimes.size }
        val codes = outcomes.mapNotNull { it.code }.groupingBy { it }.eachCount()
        return "max tokens $tokens: requests $REQUESTS, whole $whole, tokens $streamed, " +
            "processor ${"%.2f".format(seconds)} s, median first token $first ms, " +
            "codes $codes, load ${Machine.load()}"
    }

    /** Times of calls one after another, in turn through the daemon and straight to the engines. */
    private fun added(): String {
        val direct = DirectCaller(fleet)
        val pairs = (1..PAIRS).map { caller.stream(address, call(it, PAIR_TOKENS)) to direct.run(it, PAIR_TOKENS) }
        return "one at a time: through the daemon ${times(pairs.map { it.first })}; " +
            "engines alone ${times(pairs.map { it.second })}, load ${Machine.load()}"
    }

    private fun times(outcomes: List<ChatOutcome>): String {
        val first = outcomes.mapNotNull { it.firstTokenMillis }.sorted()
        val gaps = outcomes.flatMap { it.gapsMillis }.sorted()
        return "whole ${outcomes.count { it.whole }}, first token ${spread(first)}, gap ${spread(gaps)}"
    }

    private fun spread(sorted: List<Double>): String {
        if (sorted.isEmpty()) return "none"
        return "median %.2f ms, p95 %.2f ms".format(sorted[sorted.size / 2], sorted[(sorted.size * HIGH).toInt()])
    }

    private fun load(requests: Int, tokens: Int, threads: Int): List<ChatOutcome> {
        val workers = Executors.newFixedThreadPool(threads)
        return try {
            val calls = (1..requests).map { workers.submit(Callable { caller.stream(address, call(it, tokens)) }) }
            calls.map { it.get() }
        } finally {
            workers.shutdownNow()
        }
    }

    private fun open(streams: Int): String {
        val workers = Executors.newFixedThreadPool(streams)
        val calls = (1..streams).map { workers.submit(Callable { caller.stream(address, call(it, OPEN_TOKENS)) }) }
        Thread.sleep(OPEN_WAIT_MILLIS)
        val heap = usage.liveHeapBytes()
        val done = calls.count { it.isDone }
        val whole = calls.map { it.get() }.count { it.whole }
        workers.shutdownNow()
        return "open streams ${streams - done} of $streams: heap $heap B, whole $whole, load ${Machine.load()}"
    }

    private fun call(number: Int, tokens: Int) =
        ChatCall("load", key, "model", listOf(ChatMessage("user", "question $number of a short prompt")), tokens)

    internal companion object {
        private const val VM = "vm-1"
        private const val THREADS = 16
        private const val WARM_REQUESTS = 300
        private const val REQUESTS = 200
        private const val PAIRS = 40
        private const val PAIR_TOKENS = 20
        private const val HIGH = 0.95
        private val OUTPUTS = listOf(1, 20, 60)
        private val STREAMS = listOf(100, 300, 1_000)
        private const val OPEN_TOKENS = 400
        private const val OPEN_WAIT_MILLIS = 5_000L

        /** Starts a fleet of one daemon, measures and ends the fleet. */
        fun run(print: (String) -> Unit) =
            Fleet(FleetSlopes.spec(vms = 1)).use { PathSlopes(it.start()).run(print) }
    }
}
