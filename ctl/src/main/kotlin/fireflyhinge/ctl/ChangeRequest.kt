package fireflyhinge.ctl

/** One change as the admin API takes it; [path] is relative to `/admin/v1`. */
data class ChangeRequest(
    val method: String,
    val path: String,
    val body: String? = null,
    val query: Map<String, String> = emptyMap(),
)
