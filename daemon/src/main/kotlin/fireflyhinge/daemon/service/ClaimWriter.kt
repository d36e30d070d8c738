package fireflyhinge.daemon.service

import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.WriteCondition
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis

/**
 * Repeats conditional writes until their effect is known or [ServiceLimits.claimWriteMillis] are spent on calls and the
 * pauses between them. A stall of this process in a pause is not counted, since it tells nothing of the store.
 */
internal class ClaimWriter(
    private val store: Store,
    private val limits: ServiceLimits,
    private val clock: MonotonicClock,
) {
    /** Writes [value] under [condition]. A repeated write meets the effect of an earlier one as a conflict. */
    fun write(name: ObjectName, value: String, condition: WriteCondition): WriteResult {
        var spentMillis = 0L
        var uncertain = false
        var reason = ""
        var next = condition
        do {
            val began = clock.millis()
            val result = store.put(name, value, next)
            spentMillis += clock.millis() - began + PAUSE_MILLIS
            when (result) {
                is StoreResult.Ok -> return WriteResult.Written(result.value.version)
                is StoreResult.Conflict -> {
                    result.current?.let { return WriteResult.Found(it) }
                    // The object was removed meanwhile, for example at the end of its retention.
                    next = WriteCondition.Absent
                }
                is StoreResult.Unknown -> {
                    uncertain = true
                    reason = result.reason
                }
                is StoreResult.Unavailable -> reason = result.reason
                is StoreResult.Rejected -> return WriteResult.Failed(result.reason, uncertain)
                StoreResult.NotFound -> next = WriteCondition.Absent
            }
            Thread.sleep(PAUSE_MILLIS)
        } while (spentMillis < limits.claimWriteMillis)
        return WriteResult.Failed(reason, uncertain)
    }

    private companion object {
        const val PAUSE_MILLIS = 100L
    }
}
