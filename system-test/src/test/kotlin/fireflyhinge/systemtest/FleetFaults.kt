package fireflyhinge.systemtest

import com.fasterxml.jackson.databind.JsonNode
import fireflyhinge.Json
import fireflyhinge.config.UpstreamRole
import fireflyhinge.lease.ShardHash
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

/** Shards of each region. */
internal const val SHARDS = 64

/** Makes the store fail in [mode]: `refuse`, `silent`, `close`, or `off` to end the outage. */
internal fun Fleet.storeOutage(mode: String) {
    control(store, "outage", mapOf("mode" to mode))
}

/** Runs [action] while the store fails in [mode]. */
internal fun <T> Fleet.withoutStore(mode: String = "refuse", action: () -> T): T {
    storeOutage(mode)
    return try {
        action()
    } finally {
        storeOutage("off")
    }
}

/** Requests that the live engines of [roles] hold. */
internal fun Fleet.held(roles: Set<UpstreamRole> = setOf(UpstreamRole.PREFILL, UpstreamRole.DECODE)): List<JsonNode> =
    spec.engines.filter { it.role in roles && upstreams.getValue(it.name).alive }.flatMap { engine ->
        read(upstreams.getValue(engine.name).listening, "/v1/requests")?.toList().orEmpty()
    }

/** VM that owns the shard of [key], as the store has it. */
internal fun Fleet.ownerOf(key: String): String {
    val map = Json.mapper.readTree(shardMap()["value"].asText())
    return map["shards"][ShardHash.shardOf(key, SHARDS)]["owner"]["vm"].asText()
}

/** Waits until the shard map has not changed for [millis], so that all successors have promised for as long. */
internal fun Fleet.awaitSettledShards(millis: Long) {
    var version = -1L
    var since = System.nanoTime()
    await("the shard map changes all the time") {
        val now = shardMap()["version"].asLong()
        if (now != version) since = System.nanoTime()
        version = now
        System.nanoTime() - since >= TimeUnit.MILLISECONDS.toNanos(millis)
    }
}

private fun Fleet.shardMap(): JsonNode =
    checkNotNull(read(store.listening, "/v1/objects/shards/${spec.vms.first().region}"))

/** Runs [action] in a thread of its own. */
internal fun <T> inBackground(action: () -> T): CompletableFuture<T> {
    val result = CompletableFuture<T>()
    Thread({ runCatching(action).fold(result::complete, result::completeExceptionally) }, "test-caller").apply {
        isDaemon = true
        start()
    }
    return result
}

/** Seconds until [condition] holds; fails after [limitSeconds]. */
internal fun Fleet.secondsUntil(
    failure: String,
    limitSeconds: Double,
    detail: () -> String = { "" },
    condition: () -> Boolean,
): Double {
    val start = System.nanoTime()
    while (true) {
        val met = condition()
        val seconds = (System.nanoTime() - start) / TimeUnit.SECONDS.toNanos(1).toDouble()
        if (met) return seconds
        check(seconds <= limitSeconds) { "$failure after $limitSeconds s; ${detail()} logs are in $directory" }
        Thread.sleep(POLL_MILLIS)
    }
}

/** Prints a measured recovery time, so that it can be copied into the measurements page. */
internal fun recovered(fault: String, seconds: Double) = println("recovery: $fault: %.2f s".format(seconds))

private const val POLL_MILLIS = 50L
