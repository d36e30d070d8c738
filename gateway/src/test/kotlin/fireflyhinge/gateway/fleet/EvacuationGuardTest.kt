package fireflyhinge.gateway.fleet

import fireflyhinge.forward.ReplicaTable
import fireflyhinge.forward.StoreItem
import fireflyhinge.forward.StoreObjectCache
import io.prometheus.metrics.model.registry.PrometheusRegistry
import kotlinx.coroutines.runBlocking
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class EvacuationGuardTest {
    private val table = ReplicaTable()
    private var notices = 0

    private fun guard(boundMillis: Long?) =
        EvacuationGuard(table, boundMillis, PrometheusRegistry()) { notices++ }

    /** Guards against a VM that refuses everything because neither the store nor a VM knows of evacuations. */
    @Test
    fun replicasAreUsedAfterTheBoundIfEvacuationsStayUnknown() =
        runBlocking {
            val guard = guard(50)
            assertFalse(guard.known)
            guard.awaitFirst()
            assertTrue(guard.known)
            assertEquals(1, notices)
            guard.apply(StoreObjectCache().apply { replace(listOf(StoreItem("north", 2, "{}")), 2, 0) })
            assertEquals(setOf("north"), table.evacuatedDomains)
            assertEquals(1, notices)
        }

    /** Guards against a VM that waits for evacuations in a fleet that has none. */
    @Test
    fun replicasAreUsedAtOnceWithoutTheSetting() =
        runBlocking {
            val guard = guard(null)
            guard.awaitFirst()
            assertTrue(guard.known)
            assertEquals(0, notices)
        }
}
