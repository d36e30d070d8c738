package fireflyhinge.quota

/** Restriction on a request, by the number of replica crashes in which it took part. */
enum class CrashLevel {
    /** No crash: no restriction. */
    NONE,

    /** One crash, usually with another cause: only a few such requests run on the same replica. */
    LIGHT,

    /** Two crashes: the request runs without other suspects on its replicas. */
    STRONG,

    /** Three crashes: the request is refused. */
    BARRED,
    ;

    companion object {
        /** The level after [crashes] crashes. */
        fun of(crashes: Int): CrashLevel = values()[crashes.coerceIn(0, BARRED.ordinal)]
    }
}
