package fireflyhinge.daemon.cell

import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException

/** One run of a loop or a listener. A failed run, even with an [Error], is logged and does not end the loop. */
internal class LoopTask(private val name: String, private val task: () -> Unit) : Runnable {
    @Suppress("TooGenericExceptionCaught")
    override fun run() {
        try {
            task()
        } catch (e: RejectedExecutionException) {
            log.debug("{} stopped", name, e)
        } catch (e: InterruptedException) {
            log.debug("{} was interrupted", name, e)
            Thread.currentThread().interrupt()
        } catch (e: Throwable) {
            log.error("{} failed; continuing", name, e)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(LoopTask::class.java)!!
    }
}
