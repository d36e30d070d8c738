package fireflyhinge.gateway.fleet

import fireflyhinge.forward.StoreObjectCache
import fireflyhinge.forward.StoreObjectKind
import fireflyhinge.gateway.FAILURE_BACKOFF_MILLIS
import fireflyhinge.gateway.retryUntilSuccess
import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Job
import kotlinx.coroutines.delay
import kotlinx.coroutines.launch
import org.slf4j.LoggerFactory

/** Passes each change of the copy [state] of the store's objects of [kind] to [onChange], also when objects expire. */
internal class CopyDelivery(
    private val kind: StoreObjectKind,
    private val state: StoreObjectCache,
    private val scope: CoroutineScope,
    private val onChange: (StoreObjectCache) -> Unit,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private var redelivery: Job? = null

    /** Reports that the copy changed because of [source]. */
    fun changed(source: String) {
        log.atInfo().addKeyValue("kind", kind).addKeyValue("era", state.era).addKeyValue("revision", state.revision)
            .addKeyValue("source", source).addKeyValue("objects", state.items().size)
            .addKeyValue("overridden", state.overridden).log("copy changed")
        deliver()
        if (state.millisToNextEviction() != null) scope.launch { retryUntilSuccess(log, "settling $kind") { settle() } }
    }

    /** Passes the copy to [onChange]. If that fails, it is retried even if the copy does not change again. */
    @Suppress("TooGenericExceptionCaught") // The watch must continue whatever the callback throws.
    private fun deliver() {
        try {
            onChange(state)
        } catch (e: Throwable) {
            log.atError().setCause(e).addKeyValue("kind", kind).log("the copy could not be used")
            if (redelivery?.isActive == true) return
            redelivery =
                scope.launch {
                    delay(FAILURE_BACKOFF_MILLIS)
                    retryUntilSuccess(log, "using $kind") { onChange(state) }
                }
        }
    }

    /** Drops objects that differ from the store's list once its list is confirmed. */
    private suspend fun settle() {
        while (true) {
            delay(state.millisToNextEviction() ?: return)
            if (state.evictExpired()) return changed("absence confirmed")
        }
    }
}
