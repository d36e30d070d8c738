package fireflyhinge.soak

/** Checks that requests that crash replicas soon reach them no longer. */
internal class CrashRule(private val clock: Clock, private val calm: Calm, private val violations: Violations) {
    private val crashes = ArrayList<Long>()
    private var late = 0

    /** A replica begins to answer the deadly request [sent], and crashes. */
    @Synchronized
    fun ran(sent: Sent) {
        val now = clock.millis()
        crashes += now
        val known = crashes.getOrNull(ENOUGH - 1)?.let { it + Ledger.CONTACT_MILLIS } ?: return
        if (now <= known || !calm.since(sent.gateway, now - Ledger.CONTACT_MILLIS)) return
        if (++late == MOST_LATE + 1) {
            violations.add("deadly", sent.id, "gateway=${sent.gateway} crashes=$crashes at ${clock.millis()} ms")
        }
    }

    private companion object {
        /** The platform's rules: three more requests later than `bounds.contactMs` after the fifth crash. */
        const val ENOUGH = 5
        const val MOST_LATE = 3
    }
}
