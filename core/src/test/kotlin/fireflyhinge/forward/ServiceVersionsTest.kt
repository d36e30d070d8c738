package fireflyhinge.forward

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test

class ServiceVersionsTest {
    private val clock = ManualClock()
    private var listAgeMillis: Long? = 0

    private fun versions(firstStart: Boolean) = ServiceVersions(clock, firstStart) { listAgeMillis }

    private fun replicas(vararg versions: String) =
        versions.mapIndexed { number, version ->
            val address = "10.0.0.$number:1"
            Replica("d$number", "engine", address, "north", ReplicaStage.DECODE, slots = 6, version = version)
        }

    private fun ServiceVersions.list(vararg versions: String) = listed(replicas(*versions))

    private fun replaceAMinuteAgo(versions: ServiceVersions) {
        versions.list("v1", "v2")
        versions.list("v2")
        clock.advance(ServiceVersions.MEMORY_MILLIS)
    }

    /** Guards against a guess of the version where several may have begun a stream. */
    @Test
    fun theOnlyVersionIsKnownOnlyIfNoOtherServedRecently() {
        val cases =
            mapOf<String, Pair<String?, (ServiceVersions) -> Unit>>(
                "one" to ("v1" to { it.list("v1", "v1") }),
                "two" to (null to { it.list("v1", "v2") }),
                "the old one has left" to (null to { it.list("v1").also { _ -> it.list("v2") } }),
                "the old one left a minute ago" to ("v2" to ::replaceAMinuteAgo),
                "none" to (null to { it.list() }),
                "no list" to (null to { }),
                "without a version" to ("" to { it.list("") }),
                "with and without a version" to (null to { it.list("", "v1") }),
            )
        for ((what, case) in cases) {
            val versions = versions(firstStart = true)
            case.second(versions)
            assertEquals(case.first, versions.only("engine"), what)
        }
    }

    /** Guards against a guess from a list that a cut from the store keeps old. */
    @Test
    fun anOldListTellsNothing() {
        val versions = versions(firstStart = true).also { it.list("v1") }
        for ((age, expected) in listOf(null to null, 0L to "v1", ServiceVersions.SETTLE_MILLIS to null)) {
            listAgeMillis = age
            assertEquals(expected, versions.only("engine"), "$age ms")
        }
    }

    /** Guards against a guess by a VM that started after another version had left. */
    @Test
    fun aVmThatStartsKnowsNothingWithoutARecord() {
        val cases =
            listOf<Pair<Map<String, Long?>?, String?>>(
                null to null,
                mapOf("v1" to null) to null,
                mapOf("v2" to null) to "v2",
                mapOf("v1" to 1_000L, "v2" to null) to null,
                mapOf("v1" to ServiceVersions.MEMORY_MILLIS, "v2" to null) to "v2",
            )
        for ((record, expected) in cases) {
            val take = { versions: ServiceVersions -> record?.let { versions.recorded(mapOf("engine" to it)) } }
            val recordFirst = versions(firstStart = false).also { take(it) }.also { it.list("v2") }
            val listFirst = versions(firstStart = false).also { it.list("v2") }.also { take(it) }
            assertEquals(expected, recordFirst.only("engine"), "$record, before the list")
            assertEquals(expected, listFirst.only("engine"), "$record, after the list")
        }
        val incomplete = versions(firstStart = false).also { it.list("v2") }
        incomplete.recorded(mapOf("engine" to mapOf("v2" to null)), complete = setOf("another service"))
        assertEquals(null, incomplete.only("engine"))
        val watching = versions(firstStart = false).also { it.list("v2") }
        clock.advance(ServiceVersions.MEMORY_MILLIS)
        assertEquals("v2", watching.only("engine"))
    }

    /** Guards against a stream at a version that other VMs do not know of yet. */
    @Test
    fun streamsBeginAtANewVersionAfterItHasSettled() {
        val versions = versions(firstStart = true)
        assertTrue(versions.list("v1"))
        assertTrue(versions.mayBegin("engine", "v1"))
        assertTrue(versions.list("v1", "v2"))
        assertFalse(versions.list("v2", "v1"))
        assertFalse(versions.mayBegin("engine", "v2"))
        clock.advance(ServiceVersions.SETTLE_MILLIS)
        assertTrue(versions.mayBegin("engine", "v2"))
        versions.list("v3")
        assertTrue(versions.mayBegin("engine", "v3"), "no other version is left")
    }

    /** Guards against refusals while a release replaces all replicas of a service at once. */
    @Test
    fun streamsBeginAtANewVersionAtOnceIfTheOldOneLeaves() {
        val versions = versions(firstStart = true).also { it.list("v1") }
        val (leaving, new) = replicas("v1", "v2")
        versions.listed(listOf(leaving, new))
        assertFalse(versions.mayBegin("engine", "v2"))
        versions.listed(listOf(leaving.copy(leaving = true), new))
        assertTrue(versions.mayBegin("engine", "v2"))
    }
}
