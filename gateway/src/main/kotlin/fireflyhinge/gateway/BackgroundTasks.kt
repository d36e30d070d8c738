package fireflyhinge.gateway

import kotlinx.coroutines.currentCoroutineContext
import kotlinx.coroutines.delay
import kotlinx.coroutines.ensureActive
import org.slf4j.Logger

/** Pause after a failure that nobody expected: short enough for news, too long to flood the log. */
internal const val FAILURE_PAUSE_MILLIS = 1_000L

/**
 * Runs [step] once. Returns its result, or null if it failed with something that it does not handle itself, which is
 * logged. Only the cancellation of the caller is passed on.
 */
@Suppress("TooGenericExceptionCaught") // A loop must not end whatever one of its steps throws.
internal suspend fun <T : Any> runLogged(log: Logger, task: String, step: suspend () -> T): T? =
    try {
        step()
    } catch (e: Throwable) {
        currentCoroutineContext().ensureActive()
        log.atError().setCause(e).addKeyValue("task", task).log("a step of a task failed unexpectedly")
        null
    }

/** Runs [step] until an [runLogged] succeeds, with a pause after each that fails. */
internal suspend fun <T : Any> retryUntilSuccess(log: Logger, task: String, step: suspend () -> T): T {
    while (true) {
        runLogged(log, task, step)?.let { return it }
        delay(FAILURE_PAUSE_MILLIS)
    }
}

/** Runs [step] until cancelled, with a pause after each [runLogged] that fails. */
internal suspend fun repeatForever(log: Logger, task: String, step: suspend () -> Unit): Nothing {
    while (true) retryUntilSuccess(log, task, step)
}
