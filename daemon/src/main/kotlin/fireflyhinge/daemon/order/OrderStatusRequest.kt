package fireflyhinge.daemon.order

/** Asks a daemon for the progress of the replicas in its cells, or only of [upstream]. */
data class OrderStatusRequest(val upstream: String? = null) {
    companion object {
        /** Path of this message. */
        const val PATH = "/peer/v1/orders"
    }
}
