package fireflyhinge.daemon.config

import fireflyhinge.store.ObjectName

/** Asks a daemon which versions of [objects] it holds. */
data class VersionsRequest(val objects: List<ObjectName>) {
    companion object {
        /** Path of this message. */
        const val PATH = "/peer/v1/versions"
    }
}
