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

    /** Guards against a stale object that replaces a newer one, depending on the order of arrival. */
    @Test
    fun mergeDoesNotDependOnOrder() {
        val all = listOf(template, workspace, rated, invalid)
        val copies = (1..20).map { seed -> ConfigCopy.EMPTY.merge(all.shuffled(Random(seed))).copy }
        assertEquals(1, copies.map { it.digest }.distinct().size)
        copies.forEach { assertEquals(9.0, it.snapshot.workspaces.getValue("w").rate) }
    }

    /** Guards against an invalid object in the store that takes a workspace out of service. */
    @Test
    fun invalidObjectKeepsTheLastValidOneInEffect() {
        val merged = ConfigCopy.EMPTY.merge(listOf(template, rated, invalid))
        assertEquals(setOf(invalid.name), merged.errors.keys)
        assertEquals(7L, merged.copy.version(invalid.name))
        assertEquals(9.0, merged.copy.snapshot.workspaces.getValue("w").rate)
    }

    /** Guards against a daemon that starts after an invalid write and never receives the last valid version. */
    @Test
    fun lastValidVersionSpreadsToCopiesThatSawOnlyTheInvalidOne() {
        val full = ConfigCopy.EMPTY.merge(listOf(template, rated, invalid)).copy
        val late = ConfigCopy.EMPTY.merge(listOf(template, invalid)).copy
        assertNotEquals(full.digest, late.digest)
        val (a, b) = sync(late, full)
        assertEquals(a.digest, b.digest)
        assertEquals(9.0, a.snapshot.workspaces.getValue("w").rate)
    }

    /** Guards against a deleted workspace that is restored from a stale copy. */
    @Test
    fun tombstoneIsNotReplacedByAnOlderVersion() {
        val deleted =
            stored("workspaces", "w", version = 8, value = """{"name":"w","template":"t","deleted":true}""")
        val copy = ConfigCopy.EMPTY.merge(listOf(template, deleted)).copy.merge(listOf(rated)).copy
        assertEquals(emptySet<String>(), copy.snapshot.workspaces.keys)
        assertEquals(8L, copy.version(rated.name))
    }

    /** Guards against a workspace that is lost because another operator deleted its template in a race. */
    @Test
    fun tombstoneOfAUsedTemplateKeepsItsParameters() {
        val deleted =
            stored("templates", "t", version = 9, value = """{"name":"t","parameters":{"rate":3},"deleted":true}""")
        val copy = ConfigCopy.EMPTY.merge(listOf(deleted, workspace)).copy
        assertEquals(3.0, copy.snapshot.workspaces.getValue("w").rate)
    }

    /** Guards against a sync that ends before both copies are equal, whichever objects each of them lacks. */
    @Test
    fun syncMakesCopiesEqual() {
        repeat(100) { seed ->
            val random = Random(seed)
            val all = (1L..300L).map { route("r${random.nextInt(200)}", version = it) }
            val a = ConfigCopy.EMPTY.merge(all.filter { random.nextInt(10) > 0 }).copy
            val b = ConfigCopy.EMPTY.merge(all.filter { random.nextInt(10) > seed % 10 }).copy
            val (left, right) = sync(a, b)
            assertEquals(left.digest, right.digest, "seed $seed")
            assertEquals(left.bucketHashes, right.bucketHashes, "seed $seed")
        }
    }

    /** Guards against a full comparison for each change, which would exceed the limit for control traffic. */
    @Test
    fun oneRecentChangeTakesOneRequest() {
        val base = ConfigCopy.EMPTY.merge((1L..5000L).map { route("r$it", version = it) }).copy
        val newer = base.merge(listOf(route("r7", version = 6000))).copy
        val response = ConfigSync.respond(newer, ConfigSync.firstRequest(base, "a"))
        assertEquals(false, response.settled)
        val reverse = ConfigSync.respond(base, ConfigSync.firstRequest(newer, "b"))
        assertEquals(true, reverse.settled)
        assertEquals(listOf(ObjectName("routes", "r7")), reverse.wanted)
    }

    private fun sync(from: ConfigCopy, to: ConfigCopy): Pair<ConfigCopy, ConfigCopy> {
        var (a, b) = from to to
        var next: ConfigSyncRequest? = ConfigSync.firstRequest(a, "a")
        repeat(ConfigSync.MAX_REQUESTS) {
            val request = next ?: return a to b
            b = b.merge(request.objects).copy
            val response = ConfigSync.respond(b, request)
            a = a.merge(response.objects).copy
            next = ConfigSync.nextRequest(a, response, "a")
        }
        return a to b
    }

    private fun route(name: String, version: Long) =
        stored("routes", name, version, """{"name":"$name","kind":"MODEL","service":"s"}""")

    private fun stored(kind: String, name: String, version: Long, value: String) =
        StoredObject(ObjectName(kind, name), version, value)
}
