package fireflyhinge.systemtest

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Assertions.assertTrue
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

class FaultMatrixTest {
    private val root = Path.of(System.getProperty("fireflyhinge.root"))
    private val lines = Files.readAllLines(root.resolve("docs/FAULT-MATRIX.md"))
    private val rows =
        lines.filter { it.startsWith("| P") }.map { line -> line.trim('|', ' ').split("|").map { it.trim() } }

    /** Guards against a row marked proved whose test was renamed or removed. */
    @Test
    fun provedRowsNameExistingTests() {
        val sources =
            Files.walk(root).use { paths ->
                paths.filter { "/src/test/" in it.toString() && it.toString().endsWith("Test.kt") }
                    .toList()
                    .associate { it.fileName.toString().removeSuffix(".kt") to Files.readString(it) }
            }
        val missing =
            rows.filter { it[STATE] == "proved" }.map { it[TEST].trim('`') }.filter { test ->
                val source = sources[test.substringBefore('#')].orEmpty()
                !source.contains("fun ${test.substringAfter('#')}(")
            }
        assertEquals(emptyList<String>(), missing)
    }

    /** Guards against counts at the head of the page that differ from its rows. */
    @Test
    fun countsAtTheHeadMatchTheRows() {
        val counts = rows.groupingBy { it[STATE] }.eachCount()
        val head =
            "Rows: ${counts["proved"] ?: 0} proved, ${counts["red"] ?: 0} red, ${counts["open"] ?: 0} open."
        assertTrue(lines.any { it == head }, "expected the line: $head")
        assertEquals(setOf("proved", "red", "open"), counts.keys + setOf("proved", "red", "open"))
    }

    private companion object {
        const val TEST = 3
        const val STATE = 4
    }
}
