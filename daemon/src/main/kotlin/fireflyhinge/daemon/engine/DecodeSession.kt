package fireflyhinge.daemon.engine

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.EngineFailure
import fireflyhinge.engine.EngineResult
import java.util.concurrent.TimeUnit

/** Delivers the events of one decode call in the calling thread, under a progress deadline. */
internal class DecodeSession(
    private val reader: DecodeReader,
    private val progressMillis: Long,
    private val onEvent: (DecodeEvent) -> Boolean,
) {
    private var deadline = nextDeadline()

    /** Runs until the end event or the first failure. */
    fun run(): EngineResult<DecodeEvent.End> {
        var result: EngineResult<DecodeEvent.End>? = null
        while (result == null) {
            val left = deadline - System.nanoTime()
            result =
                when (val item = reader.items.poll(left, TimeUnit.NANOSECONDS)) {
                    null -> failed(silence())
                    is StreamItem.Failed -> failed(item.failure)
                    is StreamItem.Received -> deliver(item.event)
                }
        }
        return result
    }

    private fun deliver(event: DecodeEvent): EngineResult<DecodeEvent.End>? {
        val more = onEvent(event)
        deadline = nextDeadline()
        return when {
            event is DecodeEvent.End -> EngineResult.Ok(event)
            more -> null
            else -> failed(EngineFailure.Cancelled)
        }
    }

    private fun silence(): EngineFailure {
        val reason = "no event for $progressMillis ms"
        return if (reader.mark.sent) EngineFailure.Broken(reason) else EngineFailure.Unreachable(reason)
    }

    private fun nextDeadline() = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(progressMillis)

    private fun failed(failure: EngineFailure) = EngineResult.Failed(failure)
}
