package fireflyhinge.standin

/** A call as a stand-in received it; header names are in lower case. */
data class ReceivedCall(val method: String, val path: String, val headers: Map<String, String>)
