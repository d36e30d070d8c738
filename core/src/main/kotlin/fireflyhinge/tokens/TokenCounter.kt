package fireflyhinge.tokens

/** Counts the tokens of a text. Engines tokenize differently; the count here is used for charging and placement. */
fun interface TokenCounter {
    /** Offsets just after each token of [text], in rising order. */
    fun tokenEnds(text: CharSequence): IntArray

    /** Number of tokens of [text]. */
    fun count(text: CharSequence): Int = tokenEnds(text).size

    /** Counters that need no vocabulary. */
    companion object {
        /** Counts words separated by white space. */
        val WORDS: TokenCounter = TokenCounter(::wordEnds)
    }
}

private fun wordEnds(text: CharSequence): IntArray {
    val ends = ArrayList<Int>()
    for (i in text.indices) {
        val last = i + 1 == text.length || text[i + 1].isWhitespace()
        if (last && !text[i].isWhitespace()) ends.add(i + 1)
    }
    return ends.toIntArray()
}
