package fireflyhinge.daemon.caller

import fireflyhinge.engine.EngineClient
import fireflyhinge.engine.EngineLoad
import fireflyhinge.engine.EngineResult
import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

/** Load reads that [executor] runs. [intervalMillis] is the delay of a repeated read. */
internal class LoadProbes(
    private val engines: EngineClient,
    private val intervalMillis: Long,
    private val executor: Executor,
) {
    private val scheduled = ConcurrentHashMap<String, CompletableFuture<EngineResult<EngineLoad>>>()

    /** Reads the load of the engine at [address]. */
    fun now(address: String): CompletableFuture<EngineResult<EngineLoad>> =
        CompletableFuture.supplyAsync({ engines.readLoad(address) }, executor)

    /** Reads it after the interval. Requests that wait for the same engine share one read. */
    fun later(address: String): CompletableFuture<EngineResult<EngineLoad>> =
        scheduled.computeIfAbsent(address) {
            val delayed = CompletableFuture.delayedExecutor(intervalMillis, TimeUnit.MILLISECONDS, executor)
            CompletableFuture.supplyAsync({ begin(address) }, delayed)
        }

    // A request that fails from here on needs a read that begins after its failure.
    private fun begin(address: String): EngineResult<EngineLoad> {
        scheduled.remove(address)
        return engines.readLoad(address)
    }
}
