package fireflyhinge.daemon.service

import com.fasterxml.jackson.core.JsonProcessingException
import fireflyhinge.Json
import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.idempotency.Claim
import fireflyhinge.idempotency.ClaimState
import fireflyhinge.store.ObjectName
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.store.StoredObject
import fireflyhinge.store.WriteCondition
import org.slf4j.LoggerFactory
import java.util.concurrent.ScheduledExecutorService
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/**
 * Writes final states of claims that the store did not confirm, so that repeats of those calls get an answer instead of
 * "outcome unknown". Runs on [timer]; pending writes are lost when the process ends, which is safe.
 */
class ClaimRepair(
    private val store: Store,
    private val timer: ScheduledExecutorService,
    private val firstDelayMillis: Long = 1000,
) {
    private val pending = AtomicInteger()

    /** Writes [final] as the state of [name] later, unless another attempt holds the claim by then. */
    fun later(name: ObjectName, final: Claim) {
        // During a long outage every refused call could add one; the limit bounds memory and the load afterwards.
        if (pending.incrementAndGet() > MAX_PENDING) {
            pending.decrementAndGet()
            return
        }
        schedule(name, final, number = 0)
    }

    private fun schedule(name: ObjectName, final: Claim, number: Int) {
        val delay = minOf(MAX_DELAY_MILLIS, firstDelayMillis shl minOf(number, MAX_SHIFT))
        timer.schedule({ attempt(name, final, number) }, delay, TimeUnit.MILLISECONDS)
    }

    private fun attempt(name: ObjectName, final: Claim, number: Int) {
        var settled = false
        LoopTask("repair of claim $name") { settled = settled(name, final) }.run()
        if (settled) {
            pending.decrementAndGet()
        } else if (number < MAX_ATTEMPTS) {
            schedule(name, final, number + 1)
        } else {
            pending.decrementAndGet()
            log.warn("claim {} of attempt {} keeps an unconfirmed state", name, final.attempt)
        }
    }

    private fun settled(name: ObjectName, final: Claim): Boolean =
        when (val read = store.get(name)) {
            is StoreResult.Ok ->
                !isOpen(read.value, final) || write(name, final, WriteCondition.AtVersion(read.value.version))
            // The lost write may still arrive; an object that is there makes its condition fail.
            StoreResult.NotFound -> write(name, final, WriteCondition.Absent)
            else -> false
        }

    private fun isOpen(found: StoredObject, final: Claim): Boolean =
        try {
            val claim = Json.decode<Claim>(found.value)
            claim.attempt == final.attempt && claim.state == ClaimState.CLAIMED
        } catch (e: JsonProcessingException) {
            log.warn("claim {} cannot be read", found.name, e)
            false
        }

    private fun write(name: ObjectName, final: Claim, condition: WriteCondition): Boolean =
        store.put(name, Json.encode(final), condition) is StoreResult.Ok

    private companion object {
        const val MAX_PENDING = 1000
        const val MAX_ATTEMPTS = 30
        const val MAX_DELAY_MILLIS = 30_000L
        const val MAX_SHIFT = 5
        val log = LoggerFactory.getLogger(ClaimRepair::class.java)
    }
}
