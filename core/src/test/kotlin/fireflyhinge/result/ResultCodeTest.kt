package fireflyhinge.result

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test
import java.nio.file.Files
import java.nio.file.Path

class ResultCodeTest {
    /** Guards against a documentation page that lists other codes than the program uses. */
    @Test
    fun documentationListsExactlyTheCodes() {
        val page = Path.of(System.getProperty("fireflyhinge.root"), "docs", "result-codes.md")
        val rows = Files.readAllLines(page).filter { it.startsWith("| FH-") }
        val expected =
            ResultCode.entries.map { code ->
                "| ${code.label} | ${code.name} | ${code.httpStatus} | ${code.run.wireName} | ${code.text} |"
            }
        assertEquals(expected, rows)
    }

    /** Guards against two results that callers cannot distinguish. */
    @Test
    fun numbersAreUnique() {
        assertEquals(ResultCode.entries.size, ResultCode.entries.map { it.number }.distinct().size)
    }
}
