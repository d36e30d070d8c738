package fireflyhinge.schedule

import org.junit.jupiter.api.Assertions.assertEquals
import org.junit.jupiter.api.Test

class PrefixCacheEstimateTest {
    private fun hashes(prefix: String, count: Int) = (1..count).map { "$prefix$it" }

    /** Guards against prefixes that count for another workspace, and against a belief in more than was read. */
    @Test
    fun theLongestCommonPrefixOfTheWorkspaceCounts() {
        val beliefs = PrefixCacheEstimate(capacity = 100)
        beliefs.add("w", hashes("a", 3))
        val cases =
            mapOf(
                ("w" to hashes("a", 3)) to 3_000,
                ("w" to hashes("a", 5)) to 3_000,
                ("w" to hashes("a", 1)) to 1_000,
                ("w" to hashes("b", 3)) to 0,
                ("other" to hashes("a", 3)) to 0,
                ("w" to emptyList<String>()) to 0,
            )
        cases.forEach { (case, tokens) -> assertEquals(tokens, beliefs.cachedTokens(case.first, case.second), "$case") }
    }

    /** Guards against unbounded memory, and against a belief that survives the report that refutes it. */
    @Test
    fun theLeastRecentlyUsedBlocksAreForgotten() {
        val beliefs = PrefixCacheEstimate(capacity = 4)
        beliefs.add("w", hashes("a", 2))
        beliefs.add("w", hashes("b", 2))
        beliefs.add("w", hashes("a", 2))
        beliefs.add("w", hashes("c", 2))
        assertEquals(listOf(2_000, 0, 2_000), listOf("a", "b", "c").map { beliefs.cachedTokens("w", hashes(it, 2)) })
        repeat(3) { beliefs.recordOverestimate() }
        assertEquals(listOf(0, 2_000), listOf("a", "c").map { beliefs.cachedTokens("w", listOf("${it}1", "${it}2")) })
    }
}
