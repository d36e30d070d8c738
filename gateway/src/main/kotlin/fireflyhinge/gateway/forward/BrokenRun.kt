package fireflyhinge.gateway.forward

/**
 * A run that broke off because its replica closed the connection.
 *
 * @property settled whether the run had gone on for a while, so that the request itself is no likely reason.
 */
internal class BrokenRun(val context: RequestContext, val settled: Boolean) {
    /** The request and the parts of its prompt, for the log. */
    fun toLogText(): String = "${context.metadata.requestId} ${context.metadata.promptParts}"
}
