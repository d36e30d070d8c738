package fireflyhinge.standin.store

/** How the store fails. */
enum class OutageMode {
    /** It works. */
    OFF,

    /** It answers 503 before acting. */
    REFUSE,

    /** It accepts the call and never answers; nothing is changed. */
    SILENT,

    /** It closes the connection without acting. */
    CLOSE,
}
