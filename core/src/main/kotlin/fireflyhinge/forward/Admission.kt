package fireflyhinge.forward

import fireflyhinge.result.Outcome
import fireflyhinge.result.ResultCode

/** The rights of one request under one version of the configuration. [workspace] is null on a public route. */
data class Admission(val route: ForwardRoute, val workspace: ForwardWorkspace?, val configVersion: Long) {
    /** Tokens that the request costs its workspace. */
    fun cost(facts: RequestMetadata): Int {
        val owner = workspace ?: return 0
        return if (owner.chargesTokens) facts.tokens ?: owner.defaultCost else 1
    }

    /** Checks requests against a configuration. */
    companion object {
        /** Finds the route of [uri] at [host] and the workspace that holds the key in [facts]. */
        fun of(config: ForwardConfig, host: String, uri: String, facts: RequestMetadata): Outcome<Admission> {
            val route = config.table.find(host, uri) ?: return Outcome.Failure(ResultCode.UNKNOWN_ROUTE)
            if (route.isPublic) return Outcome.Success(Admission(route, workspace = null, config.version))
            val key = facts.key ?: return Outcome.Failure(ResultCode.KEY_ABSENT)
            val owner = config.keys[key]?.let { config.workspaces[it] }
            owner ?: return Outcome.Failure(ResultCode.KEY_UNKNOWN)
            return Outcome.Success(Admission(route, owner, config.version))
        }
    }
}
