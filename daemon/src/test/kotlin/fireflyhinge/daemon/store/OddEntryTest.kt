package fireflyhinge.daemon.store

import fireflyhinge.daemon.fake.RawServer
import fireflyhinge.daemon.outbound.OutboundHttp
import fireflyhinge.store.StoreResult
import org.junit.jupiter.api.AfterEach
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class OddEntryTest {
    private val http = OutboundHttp()

    @AfterEach
    fun close() = http.close()

    private fun <T> ask(answer: String, call: (HttpStore) -> T): T =
        RawServer { request, _, out -> true.also { out.write(RawServer.json(request, answer).toByteArray()) } }
            .use { call(HttpStore(address = it.address, http = http, timeoutMillis = 2_000)) }

    private fun around(odd: String) = "[${stored("a", 1)},$odd,${stored("b", 2)}]"

    private fun stored(name: String, version: Int) =
        """{"name":{"kind":"upstreams","name":"$name"},"version":$version,"value":"{}"}"""

    /** Guards against one odd object that makes a whole list unreadable. */
    @TestFactory
    fun anOddObjectCostsOnlyItselfInAList(): List<DynamicTest> =
        OBJECTS.map { (what, odd) ->
            DynamicTest.dynamicTest(what) {
                val list = ask(around(odd)) { it.list("upstreams") }
                assertEquals(listOf("a", "b"), (list as? StoreResult.Ok)?.value?.map { it.name.name }, "$list")
            }
        }

    /** Guards against one odd object at which a watch stops for good, since it is in every answer. */
    @TestFactory
    fun anOddObjectCostsOnlyItselfInAWatch(): List<DynamicTest> =
        OBJECTS.flatMap { (what, odd) ->
            val fields = listOf("\"objects\":${around(odd)}", "\"position\":7", "\"other\":$odd")
            listOf(fields, fields.reversed()).map { order ->
                DynamicTest.dynamicTest(what) {
                    val batch = ask(order.joinToString(prefix = "{", postfix = "}")) { it.watch(0, waitMillis = 0) }
                    val value = (batch as? StoreResult.Ok)?.value
                    assertEquals(listOf("a", "b"), value?.objects?.map { it.name.name }, "$batch")
                    assertEquals(7L, value?.position)
                }
            }
        }

    /** Guards against one odd entry that makes the whole VM list unreadable. */
    @TestFactory
    fun anOddVmCostsOnlyItself(): List<DynamicTest> =
        VMS.map { (what, odd) ->
            DynamicTest.dynamicTest(what) {
                val list = ask("[${vm("a")},$odd,${vm("b")}]") { it.vms() }
                assertEquals(listOf("a", "b"), (list as? StoreResult.Ok)?.value?.entries?.map { it.id }, "$list")
            }
        }

    /** Guards against a VM that is taken for gone because its entry cannot be read. */
    @TestFactory
    fun aListWithAnOddEntryIsNotWhole(): List<DynamicTest> =
        VMS.map { (what, odd) ->
            DynamicTest.dynamicTest(what) {
                val list = ask("[${vm("a")},$odd]") { it.vms() }
                assertEquals(false, (list as? StoreResult.Ok)?.value?.complete, "$list")
            }
        }

    /** Guards against an answer that is no list and passes for an empty one. */
    @TestFactory
    fun anAnswerThatIsNoListIsNotTaken(): List<DynamicTest> =
        listOf("", "null", "{}", "1", "[", "[]]", "[] {}", "[${stored("a", 1)}", "nope").map { answer ->
            DynamicTest.dynamicTest("'$answer'") {
                assertEquals(null, ask(answer) { it.list("upstreams") } as? StoreResult.Ok)
                assertEquals(null, ask(answer) { it.vms() } as? StoreResult.Ok)
                assertEquals(null, ask(answer) { it.watch(0, 0) } as? StoreResult.Ok)
            }
        }

    private companion object {
        val VALUES =
            listOf(
                "2,000 levels" to "[".repeat(2_000) + "]".repeat(2_000),
                "100,000 levels" to "{\"a\":".repeat(100_000) + "1" + "}".repeat(100_000),
                "5,000 digits" to "9".repeat(5_000),
                "1e400" to "1e400",
                "1e999999999" to "1e999999999",
                "text" to "\"x]},{\\\"\"",
                "null" to "null",
                "true" to "true",
                "empty object" to "{}",
                "empty list" to "[]",
            )

        fun vm(id: String, callers: String = "\"h:1\"", leaving: String = "false") =
            """{"id":"$id","region":"r","failureDomain":"d","callerAddress":$callers,"controlAddress":"h:2",""" +
                """"leaving":$leaving}"""

        // Jackson takes these for a text.
        val SCALARS = setOf("text", "5,000 digits", "1e400", "1e999999999", "true")
        val OBJECTS =
            VALUES +
                VALUES.map { (what, odd) ->
                    "version $what" to """{"name":{"kind":"k","name":"n"},"version":$odd,"value":"{}"}"""
                } +
                VALUES.filter { it.first !in SCALARS }.map { (what, odd) ->
                    "value $what" to """{"name":{"kind":"k","name":"n"},"version":1,"value":$odd}"""
                } +
                VALUES.map { (what, odd) -> "name $what" to """{"name":$odd,"version":1,"value":"{}"}""" } +
                listOf("no version" to """{"name":{"kind":"k","name":"n"},"value":"{}"}""")
        val VMS =
            VALUES +
                VALUES.filter { it.first !in setOf("empty list", "true") }.map { (what, odd) ->
                    "leaving $what" to vm("odd", leaving = odd)
                } +
                listOf("0", "65536", "-1", "x", "").map { "port $it" to vm("odd", callers = "\"h:$it\"") } +
                listOf("no address" to vm("odd", callers = "\"\""), "null address" to vm("odd", callers = "null"))
    }
}
