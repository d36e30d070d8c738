package fireflyhinge.daemon.engine

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.DecodeRequest

/** Checks that the events of a stream belong to [request] and arrive without gaps. Not thread-safe. */
internal class DecodeSequence(private val request: DecodeRequest) {
    private var next = request.firstIndex

    /** Checks [event] and, if it is the next one, moves on. */
    fun check(event: DecodeEvent): EventCheck =
        when (event) {
            is DecodeEvent.Token -> checkToken(event)
            is DecodeEvent.End -> checkEnd(event)
        }

    private fun checkToken(event: DecodeEvent.Token): EventCheck =
        when {
            event.id != request.id || event.index < next -> EventCheck.FOREIGN
            event.index >= request.maxTokens -> EventCheck.EXCESS
            event.index > next -> EventCheck.GAP
            else -> {
                next += 1
                EventCheck.NEXT
            }
        }

    private fun checkEnd(event: DecodeEvent.End): EventCheck =
        when {
            event.id != request.id -> EventCheck.FOREIGN
            event.tokens != next -> EventCheck.GAP
            else -> EventCheck.NEXT
        }
}
