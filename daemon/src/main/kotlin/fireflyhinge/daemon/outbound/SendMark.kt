package fireflyhinge.daemon.outbound

/** Tells whether any byte of a request may have been sent. */
internal class SendMark {
    @Volatile var sent: Boolean = false
}
