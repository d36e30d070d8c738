package fireflyhinge.standin.engine

import fireflyhinge.engine.EngineRequestId
import fireflyhinge.engine.Holder

/** A finished prefill; it does not expire while [exporting]. */
internal class KvEntry(
    val id: EngineRequestId,
    val holder: Holder,
    val ticket: String,
    val content: KvContent,
    val expiresAt: Long,
) {
    val since: Long = System.nanoTime()

    @Volatile var exporting: Boolean = false

    @Volatile var cancelled: Boolean = false
}
