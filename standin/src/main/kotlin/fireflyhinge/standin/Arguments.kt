package fireflyhinge.standin

/** Arguments of the form `--name value`. */
internal class Arguments(list: List<String>) {
    private val values: Map<String, String> =
        list.chunked(2).associate { pair ->
            require(pair.size == 2 && pair[0].startsWith("--")) { "expected --name value, got ${pair[0]}" }
            pair[0].removePrefix("--") to pair[1]
        }

    /** Fails if an argument is not one of [names]. */
    fun allow(names: Set<String>) {
        val unknown = values.keys - names
        require(unknown.isEmpty()) { "unknown arguments $unknown; allowed are $names" }
    }

    fun text(name: String, default: String): String = values[name] ?: default

    fun int(name: String, default: Int): Int = values[name]?.toInt() ?: default

    fun long(name: String, default: Long): Long = values[name]?.toLong() ?: default

    fun flag(name: String, default: Boolean): Boolean = values[name]?.toBooleanStrict() ?: default
}
