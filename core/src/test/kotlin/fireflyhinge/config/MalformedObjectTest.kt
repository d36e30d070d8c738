package fireflyhinge.config

import fireflyhinge.Json
import fireflyhinge.store.ObjectName
import fireflyhinge.store.StoredObject
import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertNotNull
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.TestFactory

class MalformedObjectTest {
    private val valid =
        listOf(
            "templates" to """{"name":"valid"}""",
            "workspaces" to """{"name":"valid","template":"valid"}""",
            "routes" to """{"name":"valid","kind":"MODEL","service":"s"}""",
            "upstreams" to
                """{"name":"valid","service":"s","role":"DECODE","address":"h:1","region":"r","failureDomain":"d"}""",
        ).mapIndexed { i, (kind, value) -> StoredObject(ObjectName(kind, "valid"), i + 2L, value) }

    /** Guards against a malformed field value that drops the objects after it or fails a later merge. */
    @TestFactory
    fun malformedFieldAffectsOnlyItsObject(): List<DynamicTest> =
        FIELDS.flatMap { (kind, fields) ->
            fields.flatMap { field ->
                VALUES.map { (label, value) ->
                    val malformed = objectWith(kind, field, value)
                    DynamicTest.dynamicTest("$kind $field: $label") { assertLeftOut(kind, malformed) }
                }
            }
        }

    /** Guards against a value that is not a JSON object and drops the other objects of its list. */
    @TestFactory
    fun malformedObjectAffectsOnlyItself(): List<DynamicTest> =
        (FIELDS.keys + listOf("shards", "fences", "unknown")).flatMap { kind ->
            (VALUES + TEXTS).map { (label, value) ->
                DynamicTest.dynamicTest("$kind: $label") { assertLeftOut(kind, value) }
            }
        }

    /** Guards against accepting an address that cannot be connected to. */
    @TestFactory
    fun upstreamWithAnUnusableAddressIsInvalid(): List<DynamicTest> =
        listOf("h", "h:", "h:0", "h:65536", "h:-1", "h:x", ":1", "a:b:1", "[::1:1", "..:1", "a..b:1", "::1:1", "")
            .map { address ->
                DynamicTest.dynamicTest("'$address'") {
                    val text = objectWith("upstreams", "address", "\"$address\"")
                    assertEquals(listOf("address"), ObjectDecoder.decode("upstreams", text).errors.map { it.field })
                }
            }

    private fun assertLeftOut(kind: String, value: String) {
        val malformed = StoredObject(ObjectName(kind, "malformed"), 1, value)
        val copy = ConfigCopy.EMPTY.merge(listOf(malformed) + valid).copy
        valid.forEach { assertNotNull(copy.parsed(it.name), "${it.name}") }
        assertEquals(setOf("valid"), copy.snapshot.upstreams.keys - "malformed")
        assertEquals(setOf("valid"), copy.snapshot.workspaces.keys - "malformed")
        val answer = ConfigSync.respond(copy, ConfigSyncRequest("vm", wanted = names(kind)))
        val forwarded = Json.mapper.readValue(Json.mapper.writeValueAsBytes(answer), ConfigSyncResponse::class.java)
        val other = ConfigCopy.EMPTY.merge(forwarded.objects).copy
        assertEquals(copy.digest, other.digest)
    }

    private fun names(kind: String) = listOf(ObjectName(kind, "malformed")) + valid.map { it.name }

    private fun objectWith(kind: String, field: String, value: String): String {
        val base = valid.firstOrNull { it.name.kind == kind }?.value ?: "{}"
        val fields = Json.mapper.readTree(base.replace("\"name\":\"valid\"", "\"name\":\"malformed\""))
        val others = fields.properties().filter { it.key != field }.map { "\"${it.key}\":${it.value}" }
        return (others + "\"$field\":$value").joinToString(separator = ",", prefix = "{", postfix = "}")
    }

    private companion object {
        val FIELDS =
            mapOf(
                "templates" to listOf("name", "parameters", "changeId", "deleted", "other"),
                "workspaces" to listOf("name", "template", "parameters", "keyHashes", "changeId", "deleted", "other"),
                "routes" to
                    listOf("name", "kind", "service", "open", "idempotent", "costTokens", "changeId", "deleted"),
                "upstreams" to
                    listOf("name", "service", "role", "address", "region", "failureDomain", "slots", "leaving") +
                    listOf("linkMegabytesPerSecond", "checksFence", "models", "adapters", "modelVersion", "deleted"),
            )
        val PARAMETERS = listOf("rate", "burst", "models", "priority", "regionShares", "serveWhenIsolated")
        val PLAIN =
            listOf(
                "2,000 levels" to "[".repeat(2_000) + "]".repeat(2_000),
                "900 levels" to "{\"a\":".repeat(900) + "1" + "}".repeat(900),
                "5,000 digits" to "9".repeat(5_000),
                "900 digits" to "9".repeat(900),
                "1e400" to "1e400",
                "-1" to "-1",
                "1.5" to "1.5",
                "text" to "\"\\u0000 x\"",
                "unpaired surrogate" to "\"\\ud800\"",
                "null" to "null",
                "list with null" to "[null]",
                "object with null" to "{\"a\":null}",
                "empty object" to "{}",
                "empty list" to "[]",
                "true" to "true",
            )
        val TEXTS =
            listOf("text" to "nope", "empty" to "", "unpaired surrogate" to "\ud800", "truncated" to "{\"name\":\"o")
        val VALUES = PLAIN + PARAMETERS.flatMap { p -> PLAIN.map { (label, v) -> "$p $label" to "{\"$p\":$v}" } }
    }
}
