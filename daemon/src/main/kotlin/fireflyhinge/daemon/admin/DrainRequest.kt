package fireflyhinge.daemon.admin

/** Tells a daemon to drain or, if [draining] is false, to take requests again. */
data class DrainRequest(val draining: Boolean) {
    companion object {
        /** Path of this message. */
        const val PATH = "/peer/v1/drain"
    }
}
