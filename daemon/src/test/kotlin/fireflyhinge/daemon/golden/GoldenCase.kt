package fireflyhinge.daemon.golden

/** One recorded session; [requests] are sent one after another after [prepare]. */
class GoldenCase(
    val name: String,
    val requests: List<String>,
    val leavesAfter: String? = null,
    val prepare: GoldenSession.() -> Unit = {},
)
