package fireflyhinge.gateway

import org.slf4j.Logger

/** Logs a warning only once for each entry that is read repeatedly. Thread-safe. */
class DeduplicatingLogger(private val log: Logger) {
    private val known = LinkedHashSet<String>()

    /** Logs [message] about [entry] with [reason], unless a warning about it was logged recently. */
    fun warn(entry: String, reason: String?, message: String) {
        val shown = entry.take(MAX_ENTRY_CHARS)
        if (isNew(shown)) log.atWarn().addKeyValue("entry", shown).addKeyValue("reason", reason).log(message)
    }

    @Synchronized
    private fun isNew(entry: String): Boolean {
        if (!known.add(entry)) return false
        if (known.size > MAX_KNOWN) known.remove(known.first())
        return true
    }

    private companion object {
        const val MAX_ENTRY_CHARS = 200

        /** More than the number of entries on a page of the store. */
        const val MAX_KNOWN = 1_000
    }
}
