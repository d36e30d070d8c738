package fireflyhinge.daemon.membership

import fireflyhinge.daemon.cell.LoopTask
import fireflyhinge.store.Store
import fireflyhinge.store.StoreResult
import fireflyhinge.time.MonotonicClock
import fireflyhinge.time.millis
import org.slf4j.LoggerFactory
import java.util.concurrent.atomic.AtomicBoolean
import java.util.concurrent.atomic.AtomicLong

/** Reads the VM list, the more rarely the larger the fleet is, and every 2 s while peers are silent. */
internal class VmListReader(
    private val store: Store,
    private val state: MembershipState,
    private val clock: MonotonicClock,
) {
    private val log = LoggerFactory.getLogger(javaClass)
    private val busy = AtomicBoolean()
    private val dueAt = AtomicLong(Long.MIN_VALUE)

    /** Starts a read in a thread of its own if it is due, since a silent store must not delay gossip. */
    fun readIfDue() {
        if (clock.millis() < dueAt.get() || !busy.compareAndSet(false, true)) return
        Thread(LoopTask("read of the VM list", ::read), "vm-list").apply { isDaemon = true }.start()
    }

    private fun read() {
        try {
            when (val result = store.vms()) {
                is StoreResult.Ok -> {
                    state.isolation { rule, now -> rule.onStoreReached(now) }
                    state.update { updates, now -> updates.onList(result.value.entries, now, result.value.complete) }
                }
                else -> log.info("the VM list could not be read: {}", result)
            }
        } finally {
            dueAt.set(clock.millis() + period())
            busy.set(false)
        }
    }

    private fun period(): Long {
        val size = state.read { table, now -> table.view(now).size }
        val hasPeerContact = state.isolation { rule, now -> rule.hasPeerContact(now) }
        return if (hasPeerContact) maxOf(MIN_PERIOD_MILLIS, size * PERIOD_MILLIS_PER_VM) else MIN_PERIOD_MILLIS
    }

    private companion object {
        const val MIN_PERIOD_MILLIS = 2_000L

        /** Keeps the fleet at 25 reads/s; the store handles about 2,000 reads/s for everyone. */
        const val PERIOD_MILLIS_PER_VM = 40L
    }
}
