package fireflyhinge.gateway

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.slf4j.Logger

/** Pause after an unexpected failure: short enough to keep data fresh, long enough not to flood the log. */
internal const val FAILURE_BACKOFF_MILLIS = 1_000L

/**
 * Runs [step] once. Returns its result, or logs what it threw and returns null. Only the cancellation of the calling
 * coroutine is rethrown.
 */
@Suppress("TooGenericExceptionCaught") // A loop must continue whatever one of its steps throws.
internal suspend fun <T : Any> runLogged(log: Logger, task: String, step: suspend () -> T): T? =
    try {
        step()
    } catch (e: Throwable) {
        currentCoroutineContext().ensureActive()
        log.atError().setCause(e).addKeyValue("task", task).log("a step of a task failed unexpectedly")
        null
    }

/** Runs [step] until it succeeds, with a pause after each failure. Failures are logged. */
internal suspend fun <T : Any> retryUntilSuccess(log: Logger, task: String, step: suspend () -> T): T {
    while (true) {
        runLogged(log, task, step)?.let { return it }
        delay(FAILURE_BACKOFF_MILLIS)
    }
}

/** Runs [step] until cancelled, with a pause after each failure. Failures are logged. */
internal suspend fun repeatForever(log: Logger, task: String, step: suspend () -> Unit): Nothing {
    while (true) retryUntilSuccess(log, task, step)
}
