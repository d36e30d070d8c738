package fireflyhinge.gateway.forward

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.Deferred
import kotlinx.coroutines.async
import kotlinx.coroutines.coroutineScope
import kotlinx.coroutines.selects.select
import kotlinx.coroutines.withTimeoutOrNull

/** Runs tasks concurrently and returns their results in order of completion. Used by one coroutine. */
internal class Race<T> private constructor(private val scope: CoroutineScope) {
    private val running = ArrayList<Deferred<T>>()

    /** Tasks without a result. */
    val size: Int get() = running.size

    /** Starts [task]. */
    fun add(task: suspend () -> T) {
        running += scope.async { task() }
    }

    /** Returns the next result, or null if no task completes within [millis]. */
    suspend fun next(millis: Long): T? {
        val done =
            withTimeoutOrNull(maxOf(1, millis)) {
                select { running.forEach { task -> task.onAwait { task to it } } }
            }
        done?.let { running -= it.first }
        return done?.second
    }

    companion object {
        /** Runs [block] and then cancels the tasks that are still running. */
        suspend fun <T, R> run(block: suspend (Race<T>) -> R): R =
            coroutineScope {
                val race = Race<T>(this)
                block(race).also { race.running.forEach { it.cancel() } }
            }
    }
}
