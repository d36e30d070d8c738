package fireflyhinge.tokens

/** Counts tokens for charging and placement. Engines may tokenize the same text differently. */
fun interface TokenCounter {
    /** End offset (exclusive) of each token of [text], in ascending order. */
    fun tokenEnds(text: CharSequence): IntArray

    /** Number of tokens in [text]. */
    fun count(text: CharSequence): Int = tokenEnds(text).size

    /** Counters that need no vocabulary. */
    companion object {
        /** Counts each word, separated by white space, as one token. */
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
