package fireflyhinge.soak

/** What a link does to bytes; [up] is the way from the gateway, [down] the way back. Held bytes arrive later. */
internal enum class LinkMode(val delayMillis: Long = 0, val holdsUp: Boolean = false, val holdsDown: Boolean = false) {
    SOUND,
    DELAY(delayMillis = 150),
    CUT_UP(holdsUp = true),
    CUT_DOWN(holdsDown = true),
    SILENT(holdsUp = true, holdsDown = true),
    RESET,
}
