package fireflyhinge.membership

import fireflyhinge.config.ConfigCopy
import fireflyhinge.config.ConfigSync
import fireflyhinge.config.ConfigSyncRequest
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject
import org.junit.jupiter.api.Assertions.assertTrue
import kotlin.random.Random

/** One VM of [SimulatedFleet]. Checks after each step that no member or object returned to an older version. */
class SimulatedVm(val id: String, incarnation: Long, random: Random) {
    val table = MemberTable(vm(id, incarnation, heartbeat = 0))
    val updates = MemberUpdates(table)
    val exchange = GossipExchange(table, updates, random)
    var running = true
    var copy = ConfigCopy.EMPTY
        private set
    private val incarnations = mutableMapOf<String, Pair<Long, Long>>()

    fun merge(objects: List<StoredObject>): List<StoredObject> {
        val before = copy
        val merged = copy.merge(objects)
        copy = merged.copy
        merged.changed.forEach { check(it.name, before) }
        return merged.changed
    }

    fun answer(message: ConfigSyncRequest) = merge(message.objects).let { ConfigSync.respond(copy, message) }

    /** Fails if a member is older than at the last check. */
    fun checkMembers() =
        table.records.values.map { it.member }.forEach { member ->
            val now = member.incarnation to member.heartbeat
            val before = incarnations.put(member.id, now) ?: now
            val kept = compareValuesBy(now, before, { it.first }, { it.second }) >= 0
            assertTrue(kept, "$id: ${member.id} went back from $before to $now")
        }

    private fun check(name: ObjectName, before: ConfigCopy) {
        val was = before.versions(name)
        val now = copy.versions(name)
        assertTrue(now.version >= was.version && now.validVersion >= was.validVersion, "$id: $was became $now")
    }
}
