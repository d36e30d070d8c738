package fireflyhinge.daemon.cell

import org.slf4j.LoggerFactory
import java.util.concurrent.RejectedExecutionException

/** One run of a loop; a run that fails is logged and must not end its loop. */
internal class LoopTask(private val name: String, private val task: () -> Unit) : Runnable {
    @Suppress("TooGenericExceptionCaught")
    override fun run() {
        try {
            task()
        } catch (e: RejectedExecutionException) {
            log.debug("{} stopped", name, e)
        } catch (e: RuntimeException) {
            log.error("{} failed; it goes on", name, e)
        } catch (e: OutOfMemoryError) {
            // Also thrown when no thread can be created, which may be temporary.
            log.error("{} failed; it goes on", name, e)
        }
    }

    private companion object {
        val log = LoggerFactory.getLogger(LoopTask::class.java)!!
    }
}
