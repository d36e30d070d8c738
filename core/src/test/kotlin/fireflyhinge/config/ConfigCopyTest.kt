package fireflyhinge.config

import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotEquals
import org.junit.jupiter.api.Test
import kotlin.random.Random

class ConfigCopyTest {
    private val template = stored("templates", "t", version = 1, value = """{"name":"t"}""")
    private val workspace = stored("workspaces", "w", version = 2, value = """{"name":"w","template":"t"}""")
    private val rated =
        stored("workspaces", "w", version = 5, value = """{"name":"w","template":"t","parameters":{"rate":9}}""")
    private val invalid =
        stored("workspaces", "w", version = 7, value = """{"name":"w","template":"t","parameters":{"rate":-9}}""")

    /** Guards against a stale object that takes back a newer one, in whatever order they arrive. */
    @Test
    fun mergeDoesNotDependOnOrder() {
        val all = listOf(template, workspace, rated, invalid)
        val copies = (1..20).map { seed -> ConfigCopy.EMPTY.merge(all.shuffled(Random(seed))).copy }
        assertEquals(1, copies.map { it.digest }.distinct().size)
        copies.forEach { assertEquals(9.0, it.snapshot.workspaces.getValue("w").rate) }
    }

    /** Guards against an invalid object in the store that takes a workspace out of service. */
    @Test
    fun invalidObjectKeepsTheLastValidOneInForce() {
        val merged = ConfigCopy.EMPTY.merge(listOf(template, rated, invalid))
        assertEquals(setOf(invalid.name), merged.faults.keys)
        assertEquals(7L, merged.copy.version(invalid.name))
        assertEquals(9.0, merged.copy.snapshot.workspaces.getValue("w").rate)
    }

    /** Guards against a daemon that starts after the invalid write and never gets the valid version. */
    @Test
    fun lastValidVersionSpreadsToCopiesThatSawOnlyTheInvalidOne() {
        val full = ConfigCopy.EMPTY.merge(listOf(template, rated, invalid)).copy
        val late = ConfigCopy.EMPTY.merge(listOf(template, invalid)).copy
        assertNotEquals(full.digest, late.digest)
        val (a, b) = exchange(late, full)
        assertEquals(a.digest, b.digest)
        assertEquals(9.0, a.snapshot.workspaces.getValue("w").rate)
    }

    /** Guards against a deleted workspace that comes back from a stale copy. */
    @Test
    fun tombstoneStays() {
        val deleted =
            stored("workspaces", "w", version = 8, value = """{"name":"w","template":"t","deleted":true}""")
        val copy = ConfigCopy.EMPTY.merge(listOf(template, deleted)).copy.merge(listOf(rated)).copy
        assertEquals(emptySet<String>(), copy.snapshot.workspaces.keys)
        assertEquals(8L, copy.version(rated.name))
    }

    /** Guards against a workspace that is lost because another operator deleted its template in a race. */
    @Test
    fun tombstoneOfAUsedTemplateKeepsItsParameters() {
        val gone =
            stored("templates", "t", version = 9, value = """{"name":"t","parameters":{"rate":3},"deleted":true}""")
        val copy = ConfigCopy.EMPTY.merge(listOf(gone, workspace)).copy
        assertEquals(3.0, copy.snapshot.workspaces.getValue("w").rate)
    }

    /** Guards against a comparison that ends before both copies are equal, whatever each of them lacks. */
    @Test
    fun exchangeMakesCopiesEqual() {
        repeat(100) { seed ->
            val random = Random(seed)
            val all = (1L..300L).map { route("r${random.nextInt(200)}", version = it) }
            val a = ConfigCopy.EMPTY.merge(all.filter { random.nextInt(10) > 0 }).copy
            val b = ConfigCopy.EMPTY.merge(all.filter { random.nextInt(10) > seed % 10 }).copy
            val (left, right) = exchange(a, b)
            assertEquals(left.digest, right.digest, "seed $seed")
            assertEquals(left.bucketHashes, right.bucketHashes, "seed $seed")
        }
    }

    /** Guards against a full comparison for every single change, which would not fit the control traffic limit. */
    @Test
    fun oneRecentChangeTakesOneMessage() {
        val base = ConfigCopy.EMPTY.merge((1L..5000L).map { route("r$it", version = it) }).copy
        val newer = base.merge(listOf(route("r7", version = 6000))).copy
        val answer = ConfigExchange.answer(newer, ConfigExchange.opening(base, "a"))
        assertEquals(false, answer.settled)
        val reverse = ConfigExchange.answer(base, ConfigExchange.opening(newer, "b"))
        assertEquals(true, reverse.settled)
        assertEquals(listOf(ObjectName("routes", "r7")), reverse.wanted)
    }

    private fun exchange(from: ConfigCopy, to: ConfigCopy): Pair<ConfigCopy, ConfigCopy> {
        var (a, b) = from to to
        var next: ConfigMessage? = ConfigExchange.opening(a, "a")
        repeat(ConfigExchange.MAX_MESSAGES) {
            val message = next ?: return a to b
            b = b.merge(message.objects).copy
            val answer = ConfigExchange.answer(b, message)
            a = a.merge(answer.objects).copy
            next = ConfigExchange.followUp(a, answer, "a")
        }
        return a to b
    }

    private fun route(name: String, version: Long) =
        stored("routes", name, version, """{"name":"$name","kind":"MODEL","service":"s"}""")

    private fun stored(kind: String, name: String, version: Long, value: String) =
        StoredObject(ObjectName(kind, name), version, value)
}
