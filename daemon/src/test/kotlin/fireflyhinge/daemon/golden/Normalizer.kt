package fireflyhinge.daemon.golden

/** Replaces what differs between two runs of a session by fixed names. */
object Normalizer {
    private val rules =
        listOf(
            Regex("[0-9a-f]{8}(-[0-9a-f]{4}){3}-[0-9a-f]{12}") to "<attempt-id>",
            Regex("00-[0-9a-f]{32}-[0-9a-f]{16}-0[01]") to "<traceparent>",
            Regex("127\\.0\\.0\\.1:\\d+") to "<service>",
            Regex("\"created\":\\d+") to "\"created\":<time>",
            Regex("Date: [^\r\n]+") to "Date: <time>",
            Regex("(promptTokens=.*maxWaitMillis=)\\d+") to "$1<time>",
            Regex("firstTokenMillis=\\d+") to "firstTokenMillis=<time>",
            Regex("(User-Agent: okhttp/)\\S+", RegexOption.IGNORE_CASE) to "$1<version>",
        )
    private val requestId = Regex("(?i)X-Request-Id: (\\S+)")

    /** [text] with ids, times, ports and line ends made equal. */
    fun normalize(text: String): String {
        val ids = requestId.findAll(text).map { it.groupValues[1] }.distinct().toList()
        val named = ids.foldIndexed(text) { i, result, id -> result.replace(id, "<request-${i + 1}>") }
        return rules.fold(named) { result, (pattern, name) -> pattern.replace(result, name) }.replace("\r\n", "\n")
    }
}
