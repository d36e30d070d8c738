package fireflyhinge.lease

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNull
import org.junit.jupiter.api.Test

class ActingLeasesTest {
    private val self = ProcessId("a", 1)
    private val times = LeaseTimes()
    private val state = LeaseState(self, region = "r", shardCount = 1, startedAt = 0, times = times)
    private val leases = ActingLeases(state) { shard, _ -> state.owners.all[shard]?.entry?.ownerEpoch }

    /** Guards against a lease that counts as confirmed before the store has the entry, or that ends too late. */
    @Test
    fun leaseHasItsExpiryAndIsConfirmedOnlyByTheStore() {
        assertNull(leases.of(0, now = 1))
        val entry = ShardEntry(self, successor = ProcessId("b", 1), epoch = 5, ownerEpoch = 5)
        state.owners.takeOnEvidence(0, entry, now = 1)
        assertEquals(false, leases.of(0, now = 2)?.confirmed)
        state.owners.learn(ShardMap("r", listOf(entry)), now = 2)
        state.owners.promised(0, epoch = 5, sentAt = 3, now = 4)
        assertEquals(ActingLease(epoch = 5, ownerEpoch = 5, until = 3 + times.ownerLeaseNanos), leases.of(0, now = 4))
    }
}
