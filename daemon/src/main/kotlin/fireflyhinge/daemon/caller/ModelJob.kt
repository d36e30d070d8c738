package fireflyhinge.daemon.caller

import fireflyhinge.auth.Access
import fireflyhinge.config.Priority
import fireflyhinge.config.Route
import fireflyhinge.tokens.PromptDigest

/** A model request that passed all checks. [arrivedMillis] is on the scale of the pipeline's clock. */
data class ModelJob(
    val requestId: String,
    val access: Access,
    val route: Route,
    val chat: ChatRequest,
    val digest: PromptDigest,
    val arrivedMillis: Long,
) {
    /** Priority of the workspace; calls without a workspace are interactive. */
    val priority: Priority get() = access.workspace?.priority ?: Priority.INTERACTIVE
}
