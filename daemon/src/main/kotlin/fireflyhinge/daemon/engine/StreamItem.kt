package fireflyhinge.daemon.engine

import fireflyhinge.engine.DecodeEvent
import fireflyhinge.engine.EngineFailure

/** What the reader of a decode stream found. */
internal sealed interface StreamItem {
    data class Received(val event: DecodeEvent) : StreamItem

    data class Failed(val failure: EngineFailure) : StreamItem
}
