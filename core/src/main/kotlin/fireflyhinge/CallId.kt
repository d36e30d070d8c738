package fireflyhinge

/** Identifies a call to an engine or to the store; a response that does not echo the id belongs to another call. */
object CallId {
    /** Header of requests and responses. */
    const val HEADER = "X-Fireflyhinge-Call"
}
