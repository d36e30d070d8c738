package fireflyhinge.daemon.cell

import java.util.concurrent.ThreadFactory
import java.util.concurrent.atomic.AtomicInteger

/** Creates named daemon threads, which do not keep the process alive. */
internal class DaemonThreadFactory(private val name: String) : ThreadFactory {
    private val number = AtomicInteger()

    override fun newThread(task: Runnable): Thread =
        Thread(task, "$name-${number.incrementAndGet()}").apply { isDaemon = true }
}
