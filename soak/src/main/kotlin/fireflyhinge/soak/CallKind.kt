package fireflyhinge.soak

/** Kinds of requests: [path] selects the route; [once] if at most one run is allowed; [stream] if events come back. */
internal enum class CallKind(val path: String, val once: Boolean, val stream: Boolean) {
    PLAIN("/plain/x", once = false, stream = false),
    ORDER("/order/x", once = true, stream = false),
    MODEL("/model/x", once = false, stream = true),
    ONCE("/once/x", once = true, stream = true),
}
