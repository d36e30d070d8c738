package fireflyhinge.soak

/** A call that arrived at a replica. */
internal class ReplicaCall(private val head: HttpInput.Head, val body: String) {
    val path: String get() = head.first.split(' ').getOrElse(1) { "" }
    val id: String? get() = head.headers["x-request-id"]
    val workspace: String? get() = head.headers["x-tenant"]
    val expected: String? get() = head.headers["x-expect-replica"]
    val lastEvent: Int get() = head.headers["last-event-id"]?.toIntOrNull() ?: 0

    /** Whether the prompt is only read, which is no run. */
    val prefill: Boolean get() = head.headers["x-stage"] == "prefill"

    /** Whether the replica crashes when it begins to answer. */
    val deadly: Boolean get() = ",${Expected.DEADLY_PART}:" in head.headers["x-prompt-prefix"].orEmpty()

    /** Whether the system itself calls, and no caller's request is passed on. */
    val own: Boolean get() = path.startsWith("/-/")
}
