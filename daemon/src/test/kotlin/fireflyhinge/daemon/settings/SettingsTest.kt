package fireflyhinge.daemon.settings

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertFalse
import org.junit.jupiter.api.Test
import org.junit.jupiter.api.assertInstanceOf
import java.nio.file.Files
import java.nio.file.Path

class SettingsTest {
    private val valid =
        mapOf(
            "vm" to "vm-1",
            "region" to "perth",
            "failure-domain" to "perth-north",
            "listen" to "127.0.0.1:0",
            "control-listen" to "127.0.0.1:0",
            "store" to "127.0.0.1:7500",
            "peer-token" to "peer-secret",
            "operator-token" to "operator-secret",
        )

    /** Guards against a daemon that refuses a correct set of required settings. */
    @Test
    fun requiredSettingsAreEnough() {
        assertInstanceOf<SettingsResult.Valid>(Settings.read(valid))
    }

    /** Guards against a fault that is accepted, or that hides other faults. */
    @Test
    fun everyFaultIsReportedAtOnce() {
        val cases =
            listOf(
                mapOf("vm" to "VM 1") to setOf("FH-8001 vm"),
                mapOf("store" to "nowhere", "max-requests" to "0") to setOf("FH-8001 store", "FH-8001 max-requests"),
                mapOf("region" to null, "seed-peers" to "a:1,b") to setOf("FH-8002 region", "FH-8001 seed-peers"),
                mapOf("policy" to "random") to setOf("FH-8001 policy"),
                mapOf("peer-token" to "short") to setOf("FH-8001 peer-token"),
            )
        for ((change, expected) in cases) {
            val result = assertInstanceOf<SettingsResult.Invalid>(Settings.read(valid + change))
            assertEquals(expected, result.faults.map { "${it.code.label} ${it.name}" }.toSet())
        }
    }

    /** Guards against a secret in an error message. */
    @Test
    fun secretsAreNotShownInFaults() {
        val result = assertInstanceOf<SettingsResult.Invalid>(Settings.read(valid + ("operator-token" to "abc")))
        assertFalse(result.faults.single().toString().contains("abc"))
    }

    /** Guards against a setting that the reference page lacks or describes differently. */
    @Test
    fun referencePageListsEverySetting() {
        val page = Files.readString(Path.of(System.getProperty("fireflyhinge.root"), "docs", "settings.md"))
        val rows = page.lines().filter { it.startsWith("| `--") }
        val expected =
            Settings.ALL.map {
                val default = it.default?.let { text -> if (text.isEmpty()) "empty" else "`$text`" } ?: "required"
                "| `--${it.name}` | `${it.variable}` | ${it.description} | ${it.allowed} | $default |"
            }
        assertEquals(expected, rows)
    }
}
