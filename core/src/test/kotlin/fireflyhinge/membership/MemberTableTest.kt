package fireflyhinge.membership

import fireflyhinge.config.ConfigDigest
import fireflyhinge.store.VmEntry
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import kotlin.random.Random

class MemberTableTest {
    private val table = MemberTable(vm("self"))
    private val updates = MemberUpdates(table)

    /** Guards against a late message that overwrites a newer state or incarnation. */
    @Test
    fun staleHeartbeatsChangeNothing() {
        updates.merge(vm("b", incarnation = 5, heartbeat = 9), now = 0)
        val stale =
            listOf(
                Heartbeat("b", incarnation = 4, heartbeat = 99, state = MemberState.DRAINING),
                Heartbeat("b", incarnation = 5, heartbeat = 9, state = MemberState.DRAINING),
            )
        stale.forEach { assertEquals(HeartbeatResult.STALE, updates.merge(it, now = 1)) }
        assertEquals(MemberState.LIVE, table.view("b", now = 1)?.state)
        assertEquals(HeartbeatResult.UNKNOWN, updates.merge(Heartbeat("b", incarnation = 6, heartbeat = 0), now = 1))
    }

    /** Guards against dropping a healthy VM for missing heartbeats alone, and against keeping a dead one. */
    @Test
    fun unresponsiveNeedsMissingHeartbeatsAndFailedAttempts() {
        updates.merge(vm("b", heartbeat = 1), now = 0)
        assertEquals(MemberState.LIVE, table.view("b", now = 60_000)?.state)
        updates.onFailed("b", refused = false, now = 1_000)
        updates.onFailed("b", refused = false, now = 2_000)
        assertEquals(MemberState.LIVE, table.view("b", now = 60_000)?.state, "a few attempts may be lost")
        updates.onFailed("b", refused = false, now = 2_500)
        assertEquals(MemberState.LIVE, table.view("b", now = 2_999)?.state)
        assertEquals(MemberState.UNRESPONSIVE, table.view("b", now = 3_000)?.state)
        updates.merge(Heartbeat("b", incarnation = 1, heartbeat = 2), now = 3_500)
        assertEquals(MemberState.LIVE, table.view("b", now = 3_500)?.state)
    }

    /** Guards against an old heartbeat that spreads slowly and counts as a recent sign of life. */
    @Test
    fun ageOfHeartbeatCounts() {
        updates.merge(vm("b", heartbeat = 1), now = 0)
        repeat(3) { updates.onFailed("b", refused = false, now = 4_000) }
        updates.merge(Heartbeat("b", incarnation = 1, heartbeat = 2, ageMillis = 5_000), now = 6_000)
        assertEquals(MemberState.UNRESPONSIVE, table.view("b", now = 6_000)?.state)
        updates.merge(Heartbeat("b", incarnation = 1, heartbeat = 3, ageMillis = 500), now = 6_000)
        assertEquals(MemberState.LIVE, table.view("b", now = 6_000)?.state)
    }

    /** Guards against a report that overrides a later sign of life. */
    @Test
    fun reportCountsOnlyWithoutALaterSignOfLife() {
        updates.merge(vm("b", heartbeat = 1), now = 5_000)
        val report = Heartbeat("b", incarnation = 1, heartbeat = 1, state = UNRESPONSIVE)
        updates.merge(report.copy(ageMillis = 4_000), now = 8_000)
        assertEquals(MemberState.LIVE, table.view("b", now = 8_000)?.state)
        updates.merge(report.copy(ageMillis = 2_000), now = 8_000)
        assertEquals(UNRESPONSIVE, table.view("b", now = 8_000)?.state)
    }

    /** Guards against a false report that persists although the VM responds. */
    @Test
    fun reportedVmRefutesTheReport() {
        assertEquals(
            HeartbeatResult.CHANGED,
            updates.merge(table.self.copy(heartbeat = 9).toHeartbeat().copy(state = UNRESPONSIVE), now = 0)
        )
        assertTrue(table.self.heartbeat > 9)
    }

    /** Guards against a takeover from a running VM because of a VM list that lags or is faulty. */
    @Test
    fun onlyAbsenceFromTwoListsProvesThatAVmIsGone() {
        val full = listOf(entry("self"), entry("b"), entry("c"))
        updates.merge(vm("new"), now = 0)
        updates.onList(full, now = 0)
        updates.onList(emptyList(), now = 10_000)
        updates.onList(emptyList(), now = 20_000)
        assertFalse(table.provenDead("b", 0), "a list without this VM itself is faulty")
        updates.onList(full - entry("b"), now = 30_000)
        assertFalse(table.provenDead("b", 0), "one list may be a mistake")
        updates.onList(full - entry("b"), now = 32_000)
        assertTrue(table.provenDead("b", 0))
        assertFalse(table.provenDead("new", 0), "a VM that was never listed may be missing because the list lags")
        updates.onList(full, now = 34_000)
        assertFalse(table.provenDead("b", 0), "the VM is listed again")
    }

    /** Guards against a takeover from a running VM whose entry in the VM list cannot be read. */
    @Test
    fun incompleteListProvesNoVmGone() {
        updates.onList(listOf(entry("self"), entry("b")), now = 0)
        val rest = listOf(entry("self"), entry("c"))
        (10_000L..20_000L step 1_000).forEach { updates.onList(rest, now = it, complete = false) }
        assertFalse(table.provenDead("b", 0))
        assertTrue(table.view(20_000).any { it.id == "c" })
    }

    /** Guards against a VM list that proves a VM gone although it still sends heartbeats. */
    @Test
    fun vmThatIsHeardFromIsNotProvenGone() {
        updates.merge(vm("b"), now = 0)
        updates.onList(listOf(entry("self"), entry("b")), now = 0)
        listOf(10_000L, 12_000L).forEach {
            updates.onHeard("b", now = it)
            updates.onList(listOf(entry("self")), now = it)
        }
        assertFalse(table.provenDead("b", 0))
    }

    /** Guards against evidence from refusals that are too few, too close together or interrupted by a sign of life. */
    @Test
    fun threeRefusalsOverOneSecondProveTheEndAtTheFirst() {
        data class Case(val refusedAt: List<Long>, val otherAt: Long?, val deadBy: Long?)
        val cases =
            listOf(
                Case(listOf(100, 1_100), otherAt = null, deadBy = null),
                Case(listOf(100, 500, 1_000), otherAt = null, deadBy = null),
                Case(listOf(100, 600, 1_100), otherAt = null, deadBy = 100),
                Case(listOf(100, 600, 1_100), otherAt = 800, deadBy = null),
                Case(listOf(100, 600, 1_100, 1_600, 2_100), otherAt = 550, deadBy = 600),
            )
        cases.forEachIndexed { i, case ->
            val id = "vm$i"
            updates.merge(vm(id, incarnation = 4), now = 0)
            case.refusedAt.forEach { at ->
                if (case.otherAt in (at - 499)..at) updates.onFailed(id, refused = false, now = at)
                updates.onFailed(id, refused = true, now = at)
            }
            assertEquals(case.deadBy, table.deadBy(id, 4), "$case")
            assertFalse(table.provenDead(id, 5), "the proof does not hold for a newer process")
        }
    }

    /** Guards against a time of death that is too early, or as late as the arrival of the restarted process's entry. */
    @Test
    fun uptimeOfTheNewerProcessTellsWhenTheOlderOneWasDead() {
        updates.merge(vm("b", incarnation = 1), now = 0)
        updates.merge(vm("b", incarnation = 2).copy(uptimeMillis = 5_000), now = 20_000)
        assertEquals(15_100L, table.deadBy("b", 1), "2 % less than the uptime, for the drift of both clocks")
        assertEquals(null, table.deadBy("b", 2))
        updates.merge(vm("b", incarnation = 2, heartbeat = 9), now = 30_000)
        assertEquals(15_100L, table.deadBy("b", 1), "a later entry without an uptime does not change it")
        updates.onFence("b", incarnation = 2, now = 31_000)
        updates.onFence("b", incarnation = 2, now = 32_000)
        assertEquals(31_000L, table.deadBy("b", 2), "a fence does not tell when the process ended")
    }

    /** Guards against entries without an uptime, with which a restart proves the end of the old process too late. */
    @Test
    fun entriesCarryTheUptime() {
        val restarted = MemberTable(vm("b", incarnation = 2)).apply { listeningSince = 1_000 }
        val digest = ConfigDigest()
        val sender = GossipExchange(restarted, MemberUpdates(restarted), Random(1))
        val opening = sender.opening("self", digest, now = 3_000)
        updates.merge(vm("b", incarnation = 1), now = 0)
        val receiver = GossipExchange(table, updates, Random(1))
        receiver.reply(opening, digest, now = 50_000)
        assertEquals(48_040L, table.deadBy("b", 1))
        val relayed = receiver.reply(opening.copy(all = true), digest, now = 51_000)
        assertEquals(mapOf("b" to 2_960L, "self" to 0L), relayed.members.associate { it.id to it.uptimeMillis })
    }

    /** Guards against a VM that restarts without the store, knows no address, and is never contacted by a peer. */
    @Test
    fun vmWhoseProcessEndedIsTriedAgainUnlessUnlisted() {
        listOf("b", "c", "d", "e").forEach { updates.merge(vm(it), now = 0) }
        listOf(0L, 500L, 1_000L).forEach { updates.onFailed("b", refused = true, now = it) }
        fun tried(now: Long) = (0 until 20).count { "b" in PeerSelector.choose(table, now, Random(it)) }
        assertEquals(MemberState.GONE, table.view("b", now = 1_000)?.state)
        assertEquals(20, tried(now = 1_000))
        val entries = listOf("self", "b", "c", "d", "e").map(::entry)
        updates.onList(entries, now = 2_000)
        listOf(4_000L, 6_000L).forEach { updates.onList(entries - entry("b"), now = it) }
        assertEquals(0, tried(now = 6_000))
    }

    /** Guards against confusing a restarted process with the previous one. */
    @Test
    fun newerIncarnationAndFenceProveOnlyOlderProcesses() {
        updates.merge(vm("b", incarnation = 7), now = 0)
        assertTrue(table.provenDead("b", 6))
        assertFalse(table.provenDead("b", 7))
        updates.onFence("b", incarnation = 7, now = 0)
        assertTrue(table.provenDead("b", 7))
        assertTrue(table.provenDead("b", 0))
        assertTrue(updates.merge(vm("b", incarnation = 8), now = 1))
        assertFalse(table.provenDead("b", 0))
    }

    /** Guards against serving revoked keys on a partitioned VM, and against refusing all requests in a store outage. */
    @Test
    fun isolationNeedsLossOfStoreAndPeers() {
        data class Case(val heard: Int, val storeLostMillis: Long, val isolated: Boolean)
        val cases =
            listOf(
                Case(heard = 7, storeLostMillis = 60_000, isolated = false),
                Case(heard = 4, storeLostMillis = 60_000, isolated = false),
                Case(heard = 3, storeLostMillis = 60_000, isolated = true),
                Case(heard = 3, storeLostMillis = 9_999, isolated = false),
                Case(heard = 0, storeLostMillis = 10_000, isolated = true),
            )
        val now = 100_000L
        cases.forEach { case ->
            val fleet = MemberTable(vm("self"))
            val fleetUpdates = MemberUpdates(fleet)
            val detector = IsolationDetector(fleet, startedAt = now - case.storeLostMillis)
            repeat(7) { fleetUpdates.merge(vm("vm$it"), now = if (it < case.heard) now - 9_000 else 0) }
            detector.onStoreRead(startedAt = now)
            assertEquals(case.isolated, detector.isolated(now), "$case")
        }
    }

    private fun entry(id: String) = VmEntry(id, "r", "d", "$id:1", "$id:2")

    private companion object {
        val UNRESPONSIVE = MemberState.UNRESPONSIVE
    }
}
