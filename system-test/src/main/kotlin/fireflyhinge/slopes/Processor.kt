package fireflyhinge.slopes

import java.lang.management.ManagementFactory

/** Costs of code that runs in this process. */
internal object Processor {
    private const val NANOS_PER_MICRO = 1_000.0
    private const val COLLECTIONS = 2

    /** Mean processor time of [step] in microseconds over [count] calls, after [warm] calls that do not count. */
    fun micros(warm: Int, count: Int, step: (Int) -> Unit): Double {
        repeat(warm) { step(it) }
        val threads = ManagementFactory.getThreadMXBean()
        val before = threads.currentThreadCpuTime
        repeat(count) { step(warm + it) }
        return (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / count
    }

    /** Heap in use after collections, in bytes. */
    fun liveHeap(): Long {
        repeat(COLLECTIONS) { System.gc() }
        return Runtime.getRuntime().run { totalMemory() - freeMemory() }
    }
}
