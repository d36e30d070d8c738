package fireflyhinge.soak

/** What a caller got; [whole] if the answer ended as announced. */
internal class Reply(val status: Int, val headers: Map<String, String>, val body: String, val whole: Boolean)
