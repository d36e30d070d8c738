package fireflyhinge.gateway

import org.slf4j.Logger

/** Warnings on things that are read again and again: one line for each. Thread-safe. */
class DeduplicatingLogger(private val log: Logger) {
    private val known = LinkedHashSet<String>()

    /** Logs [message] on [thing] with [reason], unless it was logged before. */
    fun warn(thing: String, reason: String?, message: String) {
        val shown = thing.take(SHOWN_CHARS)
        if (isNew(shown)) log.atWarn().addKeyValue("entry", shown).addKeyValue("reason", reason).log(message)
    }

    @Synchronized
    private fun isNew(thing: String): Boolean {
        if (!known.add(thing)) return false
        if (known.size > MOST_KNOWN) known.remove(known.first())
        return true
    }

    private companion object {
        const val SHOWN_CHARS = 200

        /** More than the entries of a page of the store. */
        const val MOST_KNOWN = 1_000
    }
}
