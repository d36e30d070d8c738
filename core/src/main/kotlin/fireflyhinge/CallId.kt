package fireflyhinge

/** Identity of a call to an engine or to the store; an answer that does not repeat it belongs to another call. */
object CallId {
    /** Header of requests and answers. */
    const val HEADER = "X-Fireflyhinge-Call"
}
