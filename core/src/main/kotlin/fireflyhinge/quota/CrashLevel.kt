package fireflyhinge.quota

/** What the number of replica crashes that a request took part in says about it. */
enum class CrashLevel {
    /** No crash: no restriction. */
    NONE,

    /** One crash, which most often has another cause: only a few such requests run on one replica. */
    LIGHT,

    /** Two crashes: it runs with no other suspect on its replicas. */
    STRONG,

    /** Three crashes: it does not run any more. */
    BARRED,
    ;

    companion object {
        /** The level after [crashes] crashes. */
        fun of(crashes: Int): CrashLevel = values()[crashes.coerceIn(0, BARRED.ordinal)]
    }
}
