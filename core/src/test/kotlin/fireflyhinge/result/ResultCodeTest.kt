package fireflyhinge.result

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

class ResultCodeTest {
    /** Guards against a page that tells operators and callers other codes than the program. */
    @Test
    fun pageListsExactlyTheCodes() {
        val page = Path.of(System.getProperty("fireflyhinge.root"), "docs", "result-codes.md")
        val rows = Files.readAllLines(page).filter { it.startsWith("| FH-") }
        val expected =
            ResultCode.entries.map { "| ${it.label} | ${it.name} | ${it.httpStatus} | ${it.run.wire} | ${it.text} |" }
        assertEquals(expected, rows)
    }

    /** Guards against two results that callers cannot tell apart. */
    @Test
    fun numbersAreUnique() {
        assertEquals(ResultCode.entries.size, ResultCode.entries.map { it.number }.distinct().size)
    }
}
