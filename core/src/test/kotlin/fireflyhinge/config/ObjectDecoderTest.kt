package fireflyhinge.config

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.DynamicTest
import org.junit.jupiter.api.DynamicTest.dynamicTest
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.TestFactory

class ObjectDecoderTest {
    private data class Case(val kind: String, val text: String, val errors: Set<String>)

    private val upstream = """"service":"s","role":"DECODE","address":"10.0.0.1:80","region":"r","failureDomain":"d""""

    private val cases =
        listOf(
            Case("templates", """{"name":"t"}""", emptySet()),
            Case("templates", """{"name":"t","parameters":{"rate":0,"burst":1}}""", emptySet()),
            Case(
                "templates",
                """{"name":"t","parameters":{"rate":-1,"burst":0.5,"models":[""],"colour":1,"priority":"LOW"}}""",
                setOf(
                    "FH-7003 parameters.rate",
                    "FH-7003 parameters.burst",
                    "FH-7003 parameters.models",
                    "FH-7006 parameters.colour",
                    "FH-7003 parameters.priority",
                ),
            ),
            Case("templates", """{"name":"t","parameters":{"rate":"many"}}""", setOf("FH-7003 parameters.rate")),
            Case("templates", """{"name":"t","parameters":{"rate":NaN}}""", setOf("FH-7003 value")),
            Case(
                "templates",
                """{"name":"t","parameters":{"regionShares":{"a":0.6,"b":0.5}}}""",
                setOf("FH-7003 parameters.regionShares"),
            ),
            Case("workspaces", """{"name":"w"}""", setOf("FH-7003 template")),
            Case("workspaces", """{"name":"../w","template":"t","x":1}""", setOf("FH-7003 name", "FH-7003 x")),
            Case("workspaces", """{"name":"w","template":"t","keyHashes":["k"]}""", setOf("FH-7003 keyHashes")),
            Case("routes", """{"name":"r","kind":"MODEL","service":"s"}""", emptySet()),
            Case(
                "routes",
                """{"name":"r","kind":"MODEL","service":"s","idempotent":false,"costTokens":-1}""",
                setOf("FH-7003 idempotent", "FH-7003 costTokens"),
            ),
            Case("routes", """{"name":"r","kind":"TEAPOT","service":""}""", setOf("FH-7003 kind")),
            Case("upstreams", """{"name":"u",$upstream}""", emptySet()),
            Case("upstreams", """{"name":"u",$upstream,"slots":0}""", setOf("FH-7003 slots")),
            Case("upstreams", """{"name":"u",${upstream.replace(":80", "")}}""", setOf("FH-7003 address")),
            Case(
                "upstreams",
                """{"name":"u",$upstream,"models":["a","org/b:1"],"adapters":[],"modelVersion":"2026-11"}""",
                emptySet(),
            ),
            Case(
                "upstreams",
                """{"name":"u",$upstream,"models":["a","a"],"adapters":[null],"modelVersion":""}""",
                setOf("FH-7003 models", "FH-7003 adapters", "FH-7003 modelVersion"),
            ),
            Case("upstreams", """{"name":"u",$upstream,"models":"a"}""", setOf("FH-7003 models")),
            Case(
                "upstreams",
                """{"name":"u",${upstream.replace("DECODE", "SERVICE")},"models":["a"],"adapters":["b"]}""",
                setOf("FH-7003 models", "FH-7003 adapters"),
            ),
            Case("upstreams", """[]""", setOf("FH-7003 value")),
            Case("upstreams", "{", setOf("FH-7003 value")),
            Case("templates", """{"name":"${"x".repeat(ObjectDecoder.MAX_BYTES)}"}""", setOf("FH-7004 value")),
        )

    /** Guards against an error that is missed, hidden by another one, or has the wrong code. */
    @TestFactory
    fun reportsEveryError(): List<DynamicTest> =
        cases.map { case ->
            dynamicTest("${case.kind} ${case.text.take(80)}") {
                val decoded = ObjectDecoder.decode(case.kind, case.text, strict = true)
                val found = decoded.errors.map { "${it.code.label} ${it.field}" }.toSet()
                assertEquals(case.errors, found)
                assertEquals(case.errors.isEmpty(), decoded.value != null)
            }
        }

    /** Guards against a mixed-version fleet in which an older daemon drops an object with an unknown field. */
    @Test
    fun objectsFromTheStoreMayHaveUnknownFields() {
        val decoded = ObjectDecoder.decode("templates", """{"name":"t","new":1,"parameters":{"new":2}}""")
        assertEquals(emptyList<ConfigError>(), decoded.errors)
    }

    /** Guards against a wrong precedence: the value of the workspace, then of the template, then the default. */
    @Test
    fun parametersComeFromWorkspaceThenTemplateThenDefault() {
        val template = Template("t", WorkspaceParameters(rate = 5.0, burst = 6.0, models = listOf("m")))
        val resolved = TemplateResolver.resolve(Workspace("w", "t", WorkspaceParameters(burst = 7.0)), template)
        assertEquals(5.0, resolved.rate)
        assertEquals(7.0, resolved.burst)
        assertEquals(setOf("m"), resolved.models)
        assertEquals(Priority.INTERACTIVE, resolved.priority)
    }
}
